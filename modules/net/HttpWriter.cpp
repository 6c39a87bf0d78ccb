// Beast 1.74 uses std::ostream for status codes without including <ostream>.
#include <ostream>

#include "net/HttpWriter.h"

#include <boost/beast/http/status.hpp>

#include <charconv>
#include <string_view>

namespace auburndoor {

namespace {

constexpr std::string_view jsonContentType = "Content-Type: application/json\r\n";

void appendNumber(std::string &output, std::size_t number)
{
    char digits[20];
    const auto end = std::to_chars(std::begin(digits), std::end(digits), number).ptr;
    output.append(digits, end);
}

void appendHeaders(std::string &output, const std::vector<HttpHeader> &headers)
{
    for (const auto &[name, value] : headers) {
        output.append(name).append(": ").append(value).append("\r\n");
    }
}

/** Appends the length of the body, the end of the headers and the body. */
void appendBody(std::string &output, const std::string &body)
{
    output.append("Content-Length: ");
    appendNumber(output, body.size());
    output.append("\r\n\r\n").append(body);
}

} // namespace

void appendRequest(std::string &output, const WebRequest &request, const std::string &host)
{
    output.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (request.header("Host").empty()) {
        output.append("Host: ").append(host).append("\r\n");
    }
    appendHeaders(output, request.headers);
    if (!request.body.empty()) {
        output.append(jsonContentType);
    }
    if (request.body.empty() && request.method != "POST" && request.method != "PUT") {
        output.append("\r\n");
        return;
    }
    appendBody(output, request.body);
}

void appendReply(std::string &output, const WebReply &reply, bool keepAlive)
{
    namespace http = boost::beast::http;
    output.append("HTTP/1.1 ");
    appendNumber(output, static_cast<std::size_t>(reply.status));
    const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(reply.status)));
    output.append(" ").append(reason.data(), reason.size()).append("\r\n");
    if (!reply.body.empty()) {
        output.append(jsonContentType);
    }
    appendHeaders(output, reply.headers);
    if (!keepAlive) {
        output.append("Connection: close\r\n");
    }
    appendBody(output, reply.body);
}

} // namespace auburndoor
