#pragma once

#include "net/HttpExchange.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cctype>
#include <type_traits>

namespace auburndoor {

/**
    Parses one HTTP message into a WebRequest or a WebReply.

    Beast's own parser stores the message in a list of fields first, which costs an allocation for each header.

    @tparam isRequest whether it parses a request. The headers of a reply are skipped.
*/
template<bool isRequest>
class HttpParser : public boost::beast::http::basic_parser<isRequest>
{
public:
    using Message = std::conditional_t<isRequest, WebRequest, WebReply>;

    /** A message over one of the limits ends with http::error::header_limit or http::error::body_limit. */
    HttpParser(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
    {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(maxHeaderBytes));
        this->body_limit(maxBodyBytes);
    }

    /** The message; valid once is_done() is true, and without its body once is_header_done() is. */
    Message &message()
    {
        return message_;
    }

    /** The memory that the message takes so far, in bytes. */
    std::size_t heldBytes() const
    {
        if constexpr (isRequest) {
            return message_.body.capacity() + message_.headers.capacity() * sizeof(HttpHeader) + headerBytes_;
        } else {
            return message_.body.capacity();
        }
    }

    /** The length of the headers and the body so far, in bytes. */
    std::size_t messageBytes() const
    {
        return headerBytes_ + message_.body.size();
    }

private:
    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, Text method, Text target, int, Error &) override
    {
        if constexpr (isRequest) {
            message_.method.assign(method.data(), method.size());
            message_.target.assign(target.data(), target.size());
            headerBytes_ += target.size();
        }
    }

    void on_response_impl(int status, Text, int, Error &) override
    {
        if constexpr (!isRequest) {
            message_.status = status;
        }
    }

    void on_field_impl(boost::beast::http::field, Text name, Text value, Error &) override
    {
        if constexpr (isRequest) {
            headerBytes_ += name.size() + value.size();
            auto &[lowerCaseName, text] = message_.headers.emplace_back(name, value);
            std::transform(lowerCaseName.begin(), lowerCaseName.end(), lowerCaseName.begin(), [](unsigned char character) {
                return std::tolower(character);
            });
        }
    }

    void on_header_impl(Error &) override
    {
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &) override
    {
        // basic_parser has checked the length against the limit.
        announcedBytes_ = static_cast<std::size_t>(length.value_or(0));
        if constexpr (!isRequest) {
            message_.body.reserve(announcedBytes_);
        }
    }

    std::size_t on_body_impl(Text part, Error &) override
    {
        // The body of a request takes memory as it arrives, so that an announced length alone costs nothing.
        if (const auto size = message_.body.size() + part.size(); size > message_.body.capacity() && size <= announcedBytes_) {
            message_.body.reserve(std::min(announcedBytes_, std::max(size, 2 * message_.body.capacity())));
        }
        message_.body.append(part.data(), part.size());
        return part.size();
    }

    void on_chunk_header_impl(std::uint64_t, Text, Error &) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, Text part, Error &error) override
    {
        return on_body_impl(part, error);
    }

    void on_finish_impl(Error &) override
    {
    }

    Message message_;
    std::size_t announcedBytes_ = 0;
    /** Of the target and of the names and values of the headers. */
    std::size_t headerBytes_ = 0;
};

} // namespace auburndoor
