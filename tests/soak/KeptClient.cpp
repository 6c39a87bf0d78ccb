// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "soak/KeptClient.h"

#include "JobCodec.h"
#include "fakes/JobIds.h"
#include "net/HttpStream.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <sys/socket.h>

namespace auburndoor {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

struct KeptClient::Connection
{
    Connection(EventLoop &loop, const EntryProcess &process) : socket(loop.context().get_executor()), process(process)
    {
    }

    /** True if the end of the connection has arrived, though the loop may not have handled it yet. */
    bool hasEnded()
    {
        char byte = 0;
        const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    LoopSocket socket;
    const EntryProcess &process;
    boost::beast::flat_buffer input;
    std::optional<http::response_parser<http::string_body>> parser;
    /** When the open request was sent. */
    std::optional<TimePoint> sentAt;
    std::string method;
    std::string job;
};

KeptClient::KeptClient(ProcessCell &cell, RequestTally &tally, const Options &options)
    : cell_(cell), tally_(tally), options_(options)
{
}

void KeptClient::start()
{
    open();
}

void KeptClient::stop()
{
    isStopped_ = true;
}

bool KeptClient::isWaiting() const
{
    return connection_ && connection_->sentAt;
}

EntryProcess *KeptClient::pickEntry()
{
    std::vector<EntryProcess *> candidates;
    for (const auto &entry : cell_.entries) {
        if (entry->isRunning() && !entry->isStopping()) {
            candidates.push_back(entry.get());
        }
    }
    return candidates.empty() ? nullptr
                              : candidates.at(static_cast<std::size_t>(cell_.draw(0, static_cast<int>(candidates.size()) - 1)));
}

void KeptClient::openLater()
{
    constexpr Milliseconds retryDelay { 50 };
    cell_.loop.after(retryDelay, [self = shared_from_this()] { self->open(); });
}

void KeptClient::open()
{
    connection_.reset();
    if (isStopped_) {
        return;
    }
    const auto *entry = pickEntry();
    if (entry == nullptr) {
        openLater();
        return;
    }
    const auto connection = std::make_shared<Connection>(cell_.loop, *entry);
    const auto address = entry->clientAddress();
    connection->socket.async_connect({ asio::ip::make_address(address.host), address.port },
                                     [self = shared_from_this(), connection](const error_code &error) {
                                         if (error) {
                                             ++self->tally_.notSent;
                                             self->openLater();
                                             return;
                                         }
                                         self->onOpened(connection);
                                     });
}

void KeptClient::onOpened(const ConnectionPointer &connection)
{
    error_code ignored;
    connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    connection_ = connection;
    read(connection);
    sendLater(connection);
}

void KeptClient::sendLater(const ConnectionPointer &connection)
{
    const Milliseconds thinkTime { cell_.draw(0, static_cast<int>(options_.maxThinkTime.count())) };
    cell_.loop.after(thinkTime, [self = shared_from_this(), connection] { self->send(connection); });
}

void KeptClient::send(const ConnectionPointer &connection)
{
    // A connection that has ended is left to the handler of the read.
    if (isStopped_ || connection != connection_ || connection->hasEnded()) {
        return;
    }
    const auto request = makeRequest(*connection);
    error_code error;
    const auto size = asio::write(connection->socket, asio::buffer(request), error);
    if (error && size == 0) {
        ++tally_.notSent;
        return;
    }
    connection->sentAt = cell_.loop.now();
}

std::string KeptClient::makeRequest(Connection &connection)
{
    constexpr int jobsPerClient = 100000;
    const int kind = cell_.draw(1, 20);
    const bool isNewJob = acceptedJobs_.empty() || kind == 1;
    connection.method = isNewJob || kind < 10 ? "POST" : "GET";
    connection.job = isNewJob
                         ? jobIdOf(options_.number * jobsPerClient + ++lastJobNumber_)
                         : acceptedJobs_.at(static_cast<std::size_t>(cell_.draw(0, static_cast<int>(acceptedJobs_.size()) - 1)));
    std::string body;
    if (connection.method == "POST") {
        body = R"({"spec":")" + std::string(options_.payloadBytes, 'p')
               + R"(","taskGroups":[{"count":1,"cpu":100,"memMb":1,"estimateMs":100}]})";
    }
    if (isNewJob) {
        std::string error;
        cell_.platform.checker.addJob(connection.job, platform::readJob(body, error).value());
    }
    return connection.method + " /jobs/" + connection.job + " HTTP/1.1\r\nHost: cell.example\r\nDeadline-Ms: 3000\r\n"
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void KeptClient::read(const ConnectionPointer &connection)
{
    connection->parser.emplace();
    http::async_read(connection->socket,
                     connection->input,
                     *connection->parser,
                     [self = shared_from_this(), connection](const error_code &error, std::size_t) {
                         if (error) {
                             self->onClosed(*connection);
                         } else {
                             self->onAnswered(connection);
                         }
                     });
}

void KeptClient::onAnswered(const ConnectionPointer &connection)
{
    const auto status = static_cast<int>(connection->parser->get().result_int());
    ++tally_.answers[status];
    if (connection->method == "POST" && status == 200) {
        acceptedJobs_.push_back(connection->job);
    }
    if (connection->method == "GET" && status == 410) {
        cell_.violations.push_back(connection->job + " was accepted, but a query was answered with status 410 (no such job)");
    }
    connection->sentAt.reset();
    if (!connection->parser->keep_alive()) {
        ++tally_.announcedCloses;
        open();
        return;
    }
    read(connection);
    sendLater(connection);
}

void KeptClient::onClosed(Connection &connection)
{
    if (connection.sentAt) {
        const auto age = std::chrono::duration_cast<Milliseconds>(cell_.loop.now() - *connection.sentAt);
        tally_.cutAges.push_back(age);
        cell_.record(connection.process.name(),
                     connection.method + " " + connection.job + " ended without an answer, " + std::to_string(age.count())
                         + " ms after it was sent");
    } else {
        ++tally_.closedBetweenRequests;
    }
    open();
}

} // namespace auburndoor
