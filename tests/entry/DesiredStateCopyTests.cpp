#include "entry/DesiredStateCopy.h"

#include <catch2/catch.hpp>

#include <string>

using namespace auburndoor;

namespace {

constexpr std::size_t maxBytes = 1 << 20;

std::string textOf(int rows, int changedRow)
{
    std::string text;
    for (int i = 0; i < rows; ++i) {
        text += "row " + std::to_string(i * 2654435761U) + (i == changedRow ? " changed\n" : "\n");
    }
    return text;
}

} // namespace

// Guards against a small change that costs as much as the whole text.
TEST_CASE("a copy on the base of a former text is as short as the difference", "[copy]")
{
    const auto former = textOf(10000, -1);
    const DesiredStateCopy copy { textOf(10000, 7000), 55 };
    const auto message = copy.encode({ 4, former });
    CHECK(message.size() < 1000);
    const auto read = DesiredStateCopy::decode(message, { 4, former }, maxBytes);
    REQUIRE(read);
    CHECK(read->text == copy.text);
    CHECK(read->rowVersion == 55);
}

// Guards against a desired state that is put together from parts that do not belong together, or from a damaged message.
TEST_CASE("a copy on another base, a damaged and a too long one are refused", "[copy]")
{
    const auto former = textOf(1000, -1);
    const std::string other = textOf(1000, 3);
    const DesiredStateCopy copy { textOf(1000, 700), 55 };
    const auto message = copy.encode({ 4, former });
    CHECK_FALSE(DesiredStateCopy::decode(message, { 5, former }, maxBytes));
    CHECK_FALSE(DesiredStateCopy::decode(message, { 4, other }, maxBytes));
    CHECK_FALSE(DesiredStateCopy::decode(message, { 4, former }, 100));
    CHECK_FALSE(DesiredStateCopy::decode(message.substr(0, message.size() - 3), { 4, former }, maxBytes));
    for (std::size_t i = message.find('\n') + 1; i < message.size(); i += 7) {
        auto damaged = message;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x20);
        const auto read = DesiredStateCopy::decode(damaged, { 4, former }, maxBytes);
        CHECK((!read || read->text == copy.text));
    }
    // The plain text of an earlier release.
    CHECK(DesiredStateCopy::decode(R"({"version":3})", { 4, former }, maxBytes)->text == R"({"version":3})");
}
