#pragma once

// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>

namespace auburndoor {

/**
    A client that sends one request after the other over a connection that it keeps, as a browser or a connection pool does.

    It opens a new connection when an answer announces the end of its connection or when the connection ends between two requests,
   and gives up when a connection is refused. The answers must have no body. Used on the loop's thread.
*/
class KeepAliveClient : public std::enable_shared_from_this<KeepAliveClient>
{
public:
    /** @param pause the time between an answer and the next request */
    KeepAliveClient(EventLoop &loop, std::uint16_t port, Milliseconds pause) : loop_(loop), port_(port), pause_(pause)
    {
    }

    void connect()
    {
        input_.clear();
        socket_ = Socket(loop_.context());
        socket_.async_connect({ boost::asio::ip::address_v4::loopback(), port_ }, [self = shared_from_this()](const Error &error) {
            self->isRefused_ = bool(error);
            if (!error) {
                self->send();
            }
        });
    }

    /** Requests that were sent and whose answer has not arrived yet. */
    bool isWaiting() const
    {
        return isWaiting_;
    }

    /** Requests whose connection has ended without an answer. */
    int lost() const
    {
        return lost_;
    }

    int answered() const
    {
        return answered_;
    }

    /** True if the last attempt to open a connection was refused. */
    bool isRefused() const
    {
        return isRefused_;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Error = boost::system::error_code;

    void send()
    {
        Error error;
        isWaiting_ = true;
        boost::asio::write(socket_, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")), error);
        boost::asio::async_read_until(socket_,
                                      boost::asio::dynamic_buffer(input_),
                                      "\r\n\r\n",
                                      [self = shared_from_this()](const Error &error, std::size_t) { self->onAnswer(error); });
    }

    void onAnswer(const Error &error)
    {
        isWaiting_ = false;
        if (error) {
            ++lost_;
            connect();
            return;
        }
        ++answered_;
        if (input_.find("Connection: close") != std::string::npos) {
            connect();
            return;
        }
        input_.clear();
        loop_.after(pause_, [self = shared_from_this()] { self->sendUnlessEnded(); });
    }

    /** Sends the next request, on a new connection if the server has ended this one. */
    void sendUnlessEnded()
    {
        Error error;
        char byte = 0;
        socket_.non_blocking(true);
        socket_.receive(boost::asio::buffer(&byte, 1), 0, error);
        socket_.non_blocking(false);
        if (error == boost::asio::error::would_block) {
            send();
        } else {
            connect();
        }
    }

    EventLoop &loop_;
    std::uint16_t port_;
    Milliseconds pause_;
    Socket socket_ { loop_.context() };
    std::string input_;
    bool isWaiting_ = false;
    bool isRefused_ = false;
    int lost_ = 0;
    int answered_ = 0;
};

} // namespace auburndoor
