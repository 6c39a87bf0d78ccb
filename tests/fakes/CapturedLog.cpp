#include "fakes/CapturedLog.h"

#include "observability/EventLog.h"

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <iterator>
#include <unistd.h>

namespace auburndoor {

CapturedLog::CapturedLog(const std::string &processName)
{
    if (pipe2(descriptors_, O_NONBLOCK) == 0) {
        EventLog::configure(processName, descriptors_[1]);
    }
}

CapturedLog::~CapturedLog()
{
    EventLog::close(std::chrono::milliseconds(0));
    ::close(descriptors_[0]);
    ::close(descriptors_[1]);
}

std::size_t CapturedLog::readPipe()
{
    std::array<char, 1 << 14> part {};
    const auto before = readBytes_;
    for (ssize_t count = 1; count > 0;) {
        count = ::read(descriptors_[0], part.data(), part.size());
        if (count > 0) {
            text_.append(part.data(), static_cast<std::size_t>(count));
            readBytes_ += static_cast<std::size_t>(count);
        }
    }
    return readBytes_ - before;
}

const std::vector<nlohmann::json> &CapturedLog::lines()
{
    do {
        EventLog::flush();
    } while (readPipe() > 0);
    std::size_t begin = 0;
    for (auto end = text_.find('\n'); end != std::string::npos; end = text_.find('\n', begin)) {
        lines_.push_back(nlohmann::json::parse(text_.substr(begin, end - begin)));
        begin = end + 1;
    }
    text_.erase(0, begin);
    return lines_;
}

std::vector<nlohmann::json> CapturedLog::lines(const std::string &event)
{
    std::vector<nlohmann::json> result;
    const auto &all = lines();
    std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](const auto &line) { return line.at("event") == event; });
    return result;
}

std::vector<nlohmann::json> CapturedLog::search(const std::string &text)
{
    std::vector<nlohmann::json> result;
    const auto &all = lines();
    std::copy_if(all.begin(), all.end(), std::back_inserter(result), [&](const auto &line) {
        return line.dump().find(text) != std::string::npos;
    });
    return result;
}

} // namespace auburndoor
