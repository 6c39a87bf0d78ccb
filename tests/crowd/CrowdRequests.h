#pragma once

#include <string>

namespace auburndoor {

/** Requests of crowds of clients, as sent. The path is that of a route or any other. */
struct CrowdRequests
{
    /** Submits a job with the id in the path. */
    static std::string submission(const std::string &path, const std::string &body);
    /** Headers that announce a body of this length. */
    static std::string announcement(const std::string &path, std::size_t bodyBytes);
    /** A body in chunks of this size, without its last 16 bytes and the end. */
    static std::string unfinishedChunks(const std::string &path, std::size_t bodyBytes, std::size_t chunkBytes);
    /** Headers of this total size in fields of few bytes, without the end. */
    static std::string unfinishedHeaders(const std::string &path, std::size_t bytes);
    /** A query for the job in the path. */
    static std::string query(const std::string &path);

    /** A body of a job with a member for each of the further fields. */
    static std::string bodyOfFields(int count);
    /** A body of a job with an array of arrays that hold nothing. */
    static std::string bodyOfArrays(int count);
    /** A body of a job with an object that contains an object, and so on. */
    static std::string bodyOfLevels(int count);
};

} // namespace auburndoor
