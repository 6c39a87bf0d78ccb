#pragma once

#include <string>
#include <string_view>

namespace auburndoor {

/** Computes and checks SHA-256 digests, written as 64 lower-case hexadecimal digits. Any thread. */
class Digest
{
public:
    /** Returns the digest of the bytes. */
    static std::string of(std::string_view bytes);

    /** Compares in a time that depends only on the lengths, so that the duration reveals nothing about a secret. */
    static bool isEqual(std::string_view left, std::string_view right);

    /** Returns true for 64 lower-case hexadecimal digits. */
    static bool isWellFormed(std::string_view text);
};

} // namespace auburndoor
