#include "core/TextEncoding.h"

#include <openssl/evp.h>

namespace auburndoor {

namespace {

constexpr std::size_t bytesPerGroup = 3;
constexpr std::size_t charactersPerGroup = 4;

/**
    Decodes the first byte of a UTF-8 sequence.

    @param codePoint         set to the bits of the code point that the first byte holds
    @param smallestCodePoint set to the smallest code point allowed for a sequence of this length
    @return                  the number of continuation bytes that follow; -1 if the byte cannot be a first byte
*/
int continuationCount(unsigned char first, unsigned &codePoint, unsigned &smallestCodePoint)
{
    if (first < 0x80) {
        codePoint = first;
        smallestCodePoint = 0;
        return 0;
    }
    if (first >= 0xC2 && first < 0xE0) {
        codePoint = first & 0x1FU;
        smallestCodePoint = 0x80;
        return 1;
    }
    if (first >= 0xE0 && first < 0xF0) {
        codePoint = first & 0x0FU;
        smallestCodePoint = 0x800;
        return 2;
    }
    if (first >= 0xF0 && first < 0xF5) {
        codePoint = first & 0x07U;
        smallestCodePoint = 0x10000;
        return 3;
    }
    return -1;
}

} // namespace

bool isUtf8(std::string_view bytes)
{
    for (std::size_t index = 0; index < bytes.size();) {
        unsigned codePoint = 0;
        unsigned smallestCodePoint = 0;
        const auto count = continuationCount(static_cast<unsigned char>(bytes[index]), codePoint, smallestCodePoint);
        if (count < 0 || index + count >= bytes.size()) {
            return false;
        }
        for (int offset = 1; offset <= count; ++offset) {
            const auto next = static_cast<unsigned char>(bytes[index + offset]);
            if ((next & 0xC0U) != 0x80U) {
                return false;
            }
            codePoint = (codePoint << 6U) | (next & 0x3FU);
        }
        if (codePoint < smallestCodePoint || codePoint > 0x10FFFF || (codePoint >= 0xD800 && codePoint <= 0xDFFF)) {
            return false;
        }
        index += count + 1;
    }
    return true;
}

std::string toBase64(std::string_view bytes)
{
    // EVP_EncodeBlock writes a terminating null character after the text.
    std::string text((bytes.size() + bytesPerGroup - 1) / bytesPerGroup * charactersPerGroup + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % charactersPerGroup != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / charactersPerGroup * bytesPerGroup, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock decodes each padding character to a zero byte, which is removed here.
    const auto padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(length - padding));
    return bytes;
}

} // namespace auburndoor
