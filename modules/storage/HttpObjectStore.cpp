#include "storage/HttpObjectStore.h"

#include "core/Failure.h"
#include "storage/PlatformConnection.h"

#include <string_view>

namespace auburndoor {

namespace {

/** The path of an object; bytes other than letters, digits and "-._~/" are percent-encoded. */
std::string pathOf(const std::string &name)
{
    static constexpr std::string_view plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string path = "/v1/objects/";
    for (const char letter : name) {
        if (plain.find(letter) != std::string_view::npos) {
            path += letter;
        } else {
            const auto byte = static_cast<unsigned char>(letter);
            path += '%';
            path += digits[byte >> 4];
            path += digits[byte & 0xF];
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
    const PlatformCall call { "PUT", pathOf(name), bytes, FailureStep::WriteObject };
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
    if (!connection_.call({ "GET", pathOf(name), {}, FailureStep::ReadObject }, deadline, reader, mayHaveArrived, failure)) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace auburndoor
