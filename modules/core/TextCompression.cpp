#include "core/TextCompression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <stdexcept>

namespace auburndoor {

namespace {

constexpr int compressionLevel = 3;
constexpr int minWindowLog = 10;
constexpr int maxWindowLog = 24;

using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

void require(std::size_t code, const char *step)
{
    if (ZSTD_isError(code) != 0) {
        throw std::runtime_error(std::string("compression failed to ") + step + ": " + ZSTD_getErrorName(code));
    }
}

} // namespace

std::string compressText(std::string_view text, std::string_view reference)
{
    const Compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    if (!context) {
        throw std::runtime_error("compression failed: no memory for its state");
    }
    // Long-distance matches find the common parts wherever they have moved to.
    const auto windowLog = std::clamp(static_cast<int>(std::bit_width(text.size() + reference.size())), minWindowLog, maxWindowLog);
    require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel), "set its level");
    require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog), "set its window");
    require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1), "find distant matches");
    require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1), "add a checksum");
    require(ZSTD_CCtx_refPrefix(context.get(), reference.data(), reference.size()), "use the reference");
    std::string result(ZSTD_compressBound(text.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), result.data(), result.size(), text.data(), text.size());
    require(size, "compress");
    result.resize(size);
    result.shrink_to_fit();
    return result;
}

std::optional<std::string> decompressText(std::string_view data, std::string_view reference, std::size_t maxBytes)
{
    const auto size = ZSTD_getFrameContentSize(data.data(), data.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maxBytes) {
        return std::nullopt;
    }
    const Decompressor context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    if (!context || ZSTD_isError(ZSTD_DCtx_refPrefix(context.get(), reference.data(), reference.size())) != 0) {
        return std::nullopt;
    }
    std::string text(size, '\0');
    const auto written = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), data.data(), data.size());
    return ZSTD_isError(written) == 0 && written == size ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace auburndoor
