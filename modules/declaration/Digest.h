#pragma once

#include <string>
#include <string_view>

namespace auburndoor {

/** SHA-256 digests as 64 lower-case hexadecimal digits. Any thread. */
class Digest
{
public:
    /** The digest of the bytes. */
    static std::string of(std::string_view bytes);

    /** Compares in a time that depends on the lengths only, so that the time tells nothing about a secret. */
    static bool isEqual(std::string_view left, std::string_view right);

    /** True for 64 lower-case hexadecimal digits. */
    static bool isWellFormed(std::string_view text);
};

} // namespace auburndoor
