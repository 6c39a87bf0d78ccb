#include "core/TextEncoding.h"

#include <openssl/evp.h>

namespace auburndoor {

namespace {

constexpr std::size_t groupBytes = 3;
constexpr std::size_t groupLetters = 4;

/** The number of continuation bytes after a first byte, with the smallest code point; -1 if it cannot be a first byte. */
int continuationCount(unsigned char first, unsigned &codePoint, unsigned &smallest)
{
    if (first < 0x80) {
        codePoint = first;
        smallest = 0;
        return 0;
    }
    if (first >= 0xC2 && first < 0xE0) {
        codePoint = first & 0x1FU;
        smallest = 0x80;
        return 1;
    }
    if (first >= 0xE0 && first < 0xF0) {
        codePoint = first & 0x0FU;
        smallest = 0x800;
        return 2;
    }
    if (first >= 0xF0 && first < 0xF5) {
        codePoint = first & 0x07U;
        smallest = 0x10000;
        return 3;
    }
    return -1;
}

} // namespace

bool isUtf8(std::string_view bytes)
{
    for (std::size_t index = 0; index < bytes.size();) {
        unsigned codePoint = 0;
        unsigned smallest = 0;
        const auto count = continuationCount(static_cast<unsigned char>(bytes[index]), codePoint, smallest);
        if (count < 0 || index + count >= bytes.size()) {
            return false;
        }
        for (int step = 1; step <= count; ++step) {
            const auto next = static_cast<unsigned char>(bytes[index + step]);
            if ((next & 0xC0U) != 0x80U) {
                return false;
            }
            codePoint = (codePoint << 6U) | (next & 0x3FU);
        }
        if (codePoint < smallest || codePoint > 0x10FFFF || (codePoint >= 0xD800 && codePoint <= 0xDFFF)) {
            return false;
        }
        index += count + 1;
    }
    return true;
}

std::string toBase64(std::string_view bytes)
{
    // EVP_EncodeBlock writes a terminating zero after the text.
    std::string text((bytes.size() + groupBytes - 1) / groupBytes * groupLetters + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % groupLetters != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / groupLetters * groupBytes, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock counts the padding as zero bytes.
    const auto padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(length - padding));
    return bytes;
}

} // namespace auburndoor
