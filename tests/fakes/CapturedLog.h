#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace auburndoor {

/** The event log goes to a pipe, which is read only by lines(), until this is destroyed. */
class CapturedLog
{
public:
    explicit CapturedLog(const std::string &processName = "test");
    ~CapturedLog();
    CapturedLog(const CapturedLog &) = delete;
    CapturedLog &operator=(const CapturedLog &) = delete;

    /** Reads what has been written and what the buffer still holds. @return all lines so far, as JSON objects */
    const std::vector<nlohmann::json> &lines();

    /** As lines(), only those of an event. */
    std::vector<nlohmann::json> lines(const std::string &event);

    /** As lines(), only those that contain a text, as a search of the log's text finds them. */
    std::vector<nlohmann::json> search(const std::string &text);

    /** Takes all that is in the pipe, at most one pipe's capacity. @return the number of bytes */
    std::size_t readPipe();

    /** The number of bytes read so far. */
    std::size_t readBytes() const
    {
        return readBytes_;
    }

private:
    int descriptors_[2] = { -1, -1 };
    std::string text_;
    std::size_t readBytes_ = 0;
    std::vector<nlohmann::json> lines_;
};

} // namespace auburndoor
