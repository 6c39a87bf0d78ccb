#include "core/TextFile.h"

#include <fstream>

namespace auburndoor {

std::optional<std::string> readTextFile(const std::string &fileName, std::size_t limit)
{
    std::ifstream stream(fileName, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    std::string text(limit + 1, '\0');
    // Opening a folder succeeds; only reading from it fails and sets badbit.
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad()) {
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

} // namespace auburndoor
