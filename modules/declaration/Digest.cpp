#include "declaration/Digest.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace auburndoor {

std::string Digest::of(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    static constexpr auto digits = "0123456789abcdef";
    std::string text;
    for (const auto byte : digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

bool Digest::isEqual(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool Digest::isWellFormed(std::string_view text)
{
    const auto isDigit = [](char letter) { return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f'); };
    return text.size() == std::size_t { SHA256_DIGEST_LENGTH } * 2 && std::all_of(text.begin(), text.end(), isDigit);
}

} // namespace auburndoor
