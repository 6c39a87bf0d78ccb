#include "core/RandomId.h"

#include <array>
#include <random>

namespace auburndoor {

namespace {

std::mt19937_64 &generator()
{
    thread_local std::mt19937_64 engine = [] {
        std::random_device device;
        std::seed_seq seed { device(), device(), device(), device(), device(), device() };
        return std::mt19937_64(seed);
    }();
    return engine;
}

} // namespace

std::string makeRandomId()
{
    static constexpr std::string_view digits = "0123456789abcdef";
    constexpr int digitsPerWord = 16;
    std::string text;
    for (int word = 0; word < 2; ++word) {
        auto bits = generator()();
        for (int digit = 0; digit < digitsPerWord; ++digit) {
            text += digits[bits & 0xF];
            bits >>= 4;
        }
    }
    return text;
}

long long randomBelow(long long limit)
{
    return std::uniform_int_distribution<long long>(0, limit - 1)(generator());
}

} // namespace auburndoor
