#pragma once

#include "net/Deadline.h"
#include "net/EventLoop.h"
#include "net/HttpParser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace auburndoor {

/** A socket with the executor's own type: the type-erased one allocates and locks more for each operation. */
using LoopSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

/**
    The bytes of a connection that carries HTTP messages, and the deadline of its current operation.

    One operation runs at a time. The handlers keep the connection alive; close() ends the operation with an error. Used on the
    loop's thread only.
*/
class HttpStream
{
public:
    using ErrorCode = boost::system::error_code;

    /** A connection that is still to be opened. @param onDeadline called when the deadline passes */
    HttpStream(EventLoop &loop, std::function<void()> onDeadline)
        : socket_(loop.context().get_executor()), deadline_(loop, std::move(onDeadline))
    {
    }

    /** An open connection. @param onDeadline called when the deadline passes */
    HttpStream(LoopSocket socket, EventLoop &loop, std::function<void()> onDeadline)
        : socket_(std::move(socket)), deadline_(loop, std::move(onDeadline))
    {
    }

    LoopSocket &socket()
    {
        return socket_;
    }

    Deadline &deadline()
    {
        return deadline_;
    }

    /** The message to be sent by write(), which keeps its memory for the next one. */
    std::string &output()
    {
        return output_;
    }

    /** True if bytes of a further message have arrived with the last one. */
    bool hasInput() const
    {
        return input_.size() > 0;
    }

    /** To be called when the connection is open: prepares it for write(). */
    void configure()
    {
        ErrorCode ignored;
        socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
    }

    /** Sends output(). @param handler called with the error; from within write() if the socket took all bytes at once */
    template<typename Handler>
    void write(Handler handler)
    {
        ErrorCode error;
        const auto written = socket_.write_some(boost::asio::buffer(output_), error);
        if (error && error != boost::asio::error::would_block) {
            boost::asio::post(socket_.get_executor(), [handler = std::move(handler), error] { handler(error); });
            return;
        }
        if (written == output_.size()) {
            handler(error);
            return;
        }
        boost::asio::async_write(socket_,
                                 boost::asio::buffer(output_) + written,
                                 [handler = std::move(handler)](const ErrorCode &error, std::size_t) { handler(error); });
    }

    /**
        Reads the rest of a message.

        @param parser  must exist until the handler is called
        @param handler called with the error, never from within read()
    */
    template<bool isRequest, typename Handler>
    void read(HttpParser<isRequest> &parser, Handler handler)
    {
        readPart(parser, [this, &parser, handler = std::move(handler)](const ErrorCode &error) mutable {
            if (error || parser.is_done()) {
                handler(error);
            } else {
                read(parser, std::move(handler));
            }
        });
    }

    /** Reads what arrives next of a message; as read(), but the message may be unfinished when the handler is called. */
    template<bool isRequest, typename Handler>
    void readPart(HttpParser<isRequest> &parser, Handler handler)
    {
        const auto room = std::max(readBytes_, input_.capacity() - input_.size());
        socket_.async_read_some(input_.prepare(room),
                                [this, room, &parser, handler = std::move(handler)](ErrorCode error, std::size_t size) mutable {
                                    input_.commit(size);
                                    if (size == room) {
                                        readBytes_ = std::min(readBytes_ * 2, maxReadBytes);
                                    }
                                    parse(parser, error);
                                    handler(error);
                                });
    }

    /** The memory of the buffers, with that for the next read, in bytes. */
    std::size_t bufferBytes() const
    {
        return std::max(input_.capacity(), input_.size() + readBytes_) + output_.capacity();
    }

    /** Frees the buffers that are empty and larger than most messages. */
    void freeLargeBuffers()
    {
        useSmallReads();
        if (output_.capacity() > largeBufferBytes) {
            output_ = {};
        }
    }

    /** Reads in small steps from now on, with a small buffer if no input waits in it. */
    void useSmallReads()
    {
        readBytes_ = initialReadBytes;
        if (input_.size() == 0 && input_.capacity() > largeBufferBytes) {
            input_ = {};
        }
    }

    /** True if input waits in the operating system. */
    bool hasUnreadSocketInput() const
    {
        ErrorCode ignored;
        return socket_.available(ignored) > 0;
    }

    /** Parses what has arrived. @param error of the read before; set to that of the message, which may end with the connection */
    template<bool isRequest>
    void parse(HttpParser<isRequest> &parser, ErrorCode &error)
    {
        namespace http = boost::beast::http;
        if (error) {
            if (error == boost::asio::error::eof) {
                error = {};
                if (parser.got_some()) {
                    parser.put_eof(error);
                } else {
                    error = http::error::end_of_stream;
                }
            }
            return;
        }
        while (!error && !parser.is_done() && input_.size() > 0) {
            input_.consume(parser.put(input_.data(), error));
        }
        if (error == http::error::need_more) {
            error = {};
        }
    }

    /** Tells the peer that nothing more is sent. What was written before still arrives. */
    void shutDownSend()
    {
        ErrorCode ignored;
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    /** True if input waits to be parsed, here or in the operating system. */
    bool hasUnreadInput() const
    {
        return hasInput() || hasUnreadSocketInput();
    }

    /** Waits until input or the end of the connection can be read. @param handler called with the error, never from within
     * awaitInput() */
    template<typename Handler>
    void awaitInput(Handler handler)
    {
        socket_.async_wait(LoopSocket::wait_read, std::move(handler));
    }

    /**
        Reads until the connection ends and drops what arrives. Frees the memory of the messages.

        @param handler called with the error that ended the connection and the number of bytes, never from within discardInput()
    */
    template<typename Handler>
    void discardInput(Handler handler)
    {
        input_ = {};
        output_ = {};
        discardNext(0, std::move(handler));
    }

    /** Closes the connection, which ends the current operation, and removes the deadline. */
    void close()
    {
        ErrorCode ignored;
        socket_.close(ignored);
        deadline_.clear();
    }

private:
    template<typename Handler>
    void discardNext(std::size_t total, Handler handler)
    {
        socket_.async_wait(LoopSocket::wait_read, [this, total, handler = std::move(handler)](ErrorCode error) mutable {
            // One read a turn, so that a fast sender doesn't hold up the loop.
            std::array<char, 16384> dropped;
            total += error ? 0 : socket_.read_some(boost::asio::buffer(dropped), error);
            if (error && error != boost::asio::error::would_block) {
                handler(error, total);
                return;
            }
            discardNext(total, std::move(handler));
        });
    }

    // Most messages are smaller than this. Larger ones are read in steps that double up to the maximum.
    static constexpr std::size_t initialReadBytes = 1024;
    static constexpr std::size_t maxReadBytes = std::size_t(64) * 1024;
    static constexpr std::size_t largeBufferBytes = 4096;

    LoopSocket socket_;
    Deadline deadline_;
    boost::beast::flat_buffer input_;
    std::string output_;
    std::size_t readBytes_ = initialReadBytes;
};

} // namespace auburndoor
