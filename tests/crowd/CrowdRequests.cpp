#include "crowd/CrowdRequests.h"

#include <algorithm>
#include <sstream>

namespace auburndoor {

namespace {

constexpr const char *jobMembers = R"("spec":"p","taskGroups":[{"count":1,"cpu":100,"memMb":1,"estimateMs":100}])";

std::string startOf(const std::string &method, const std::string &path)
{
    return method + " " + path + " HTTP/1.1\r\nHost: cell.example\r\nDeadline-Ms: 3000\r\n";
}

std::string repeat(const std::string &text, int count)
{
    std::string repeated;
    for (int index = 0; index < count; ++index) {
        repeated += text;
    }
    return repeated;
}

} // namespace

std::string CrowdRequests::submission(const std::string &path, const std::string &body)
{
    return announcement(path, body.size()) + body;
}

std::string CrowdRequests::announcement(const std::string &path, std::size_t bodyBytes)
{
    return startOf("POST", path) + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

std::string CrowdRequests::unfinishedChunks(const std::string &path, std::size_t bodyBytes, std::size_t chunkBytes)
{
    auto request = startOf("POST", path) + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < bodyBytes; sent += chunkBytes) {
        const auto size = std::min(chunkBytes, bodyBytes - sent);
        std::ostringstream digits;
        digits << std::hex << size;
        request += digits.str() + "\r\n" + std::string(size, ' ') + "\r\n";
    }
    constexpr std::size_t missing = 16;
    return request.substr(0, request.size() - missing - 2);
}

std::string CrowdRequests::unfinishedHeaders(const std::string &path, std::size_t bytes)
{
    auto request = startOf("GET", path);
    while (request.size() + 5 <= bytes) {
        request += "a:b\r\n";
    }
    return request;
}

std::string CrowdRequests::query(const std::string &path)
{
    return startOf("GET", path) + "\r\n";
}

std::string CrowdRequests::bodyOfFields(int count)
{
    std::string body = std::string("{") + jobMembers;
    for (int index = 0; index < count; ++index) {
        body += ",\"" + std::to_string(index) + "\":0";
    }
    return body + "}";
}

std::string CrowdRequests::bodyOfArrays(int count)
{
    return std::string("{") + jobMembers + ",\"x\":[" + repeat("[],", count) + "0]}";
}

std::string CrowdRequests::bodyOfLevels(int count)
{
    return std::string("{") + jobMembers + ",\"x\":" + repeat("{\"x\":", count) + "0" + repeat("}", count) + "}";
}

} // namespace auburndoor
