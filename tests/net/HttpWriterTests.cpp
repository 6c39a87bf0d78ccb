#include "net/HttpWriter.h"

#include <boost/beast/core/ostream.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

#include <sstream>

using namespace auburndoor;
namespace http = boost::beast::http;

namespace {

std::string writtenByBeast(const WebRequest &request, const std::string &host)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, host);
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    if (!request.body.empty()) {
        message.set(http::field::content_type, "application/json");
    }
    message.body() = request.body;
    message.prepare_payload();
    std::ostringstream stream;
    stream << message;
    return stream.str();
}

std::string writtenByBeast(const WebReply &reply, bool keepAlive)
{
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(reply.status));
    message.version(11);
    if (!reply.body.empty()) {
        message.set(http::field::content_type, "application/json");
    }
    for (const auto &[name, value] : reply.headers) {
        message.set(name, value);
    }
    message.body() = reply.body;
    message.keep_alive(keepAlive);
    message.prepare_payload();
    std::ostringstream stream;
    stream << message;
    return stream.str();
}

} // namespace

// Guards against bytes on the wire that differ from those of the library which other processes and workers are used to.
TEST_CASE("requests are written as Beast writes them")
{
    const std::string host = "10.1.0.30:8149";
    for (const WebRequest &request : std::vector<WebRequest> {
             { "POST", "/api/run-start", { { "Target-Instance", "w-1" } }, R"({"attempt":1})" },
             { "POST", "/empty", { { "A", "1" }, { "B", "" } }, {} },
             { "PUT", "/empty", {}, {} },
             { "GET", "/job", { { "Host", "queue.example" }, { "A", "1" } }, {} },
             { "GET", "/api/rows?after=3", {}, {} },
             { "DELETE", "/job", {}, {} },
             { "GET", "/body", {}, "body" },
         }) {
        std::string output;
        appendRequest(output, request, host);
        CHECK(output == writtenByBeast(request, host));
    }
}

TEST_CASE("replies are written as Beast writes them")
{
    for (const WebReply &reply : std::vector<WebReply> {
             { 200, "{}", {} },
             { 200, {}, {} },
             { 503, "{}", { { "Retry-After", "2" } } },
             { 413, "{}", {} },
             { 421, {}, {} },
             { 599, "unknown status", {} },
         }) {
        for (const bool keepAlive : { true, false }) {
            std::string output;
            appendReply(output, reply, keepAlive);
            CHECK(output == writtenByBeast(reply, keepAlive));
        }
    }
}
