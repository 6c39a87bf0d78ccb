#include "storage/HttpObjectStore.h"

#include "core/Failure.h"
#include "storage/PlatformConnection.h"

#include <string_view>

namespace auburndoor {

namespace {

/** The request path of an object; bytes of its name other than letters, digits and "-._~/" are percent-encoded. */
std::string makeObjectPath(const std::string &name)
{
    static constexpr std::string_view unreservedCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    static constexpr std::string_view hexDigits = "0123456789ABCDEF";
    std::string path = "/v1/objects/";
    for (const char character : name) {
        if (unreservedCharacters.find(character) != std::string_view::npos) {
            path += character;
        } else {
            const auto byte = static_cast<unsigned char>(character);
            path += '%';
            path += hexDigits[byte >> 4];
            path += hexDigits[byte & 0xF];
        }
    }
    return path;
}

} // namespace

HttpObjectStore::HttpObjectStore(PlatformConnection &connection) : connection_(connection)
{
}

bool HttpObjectStore::put(const std::string &name, const std::string &bytes, TimePoint deadline, Failure &failure)
{
    bool mayHaveArrived = false;
    const PlatformCall call { "PUT", makeObjectPath(name), bytes, FailureStep::WriteObject };
    return connection_.call(
        call, deadline, [](const HttpReply &) { return true; }, mayHaveArrived, failure);
}

std::optional<std::string> HttpObjectStore::get(const std::string &name, TimePoint deadline, Failure &failure)
{
    std::string bytes;
    bool mayHaveArrived = false;
    const auto reader = [&bytes](const HttpReply &reply) {
        bytes = reply.body;
        return true;
    };
    if (!connection_.call(
            { "GET", makeObjectPath(name), {}, FailureStep::ReadObject }, deadline, reader, mayHaveArrived, failure)) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace auburndoor
