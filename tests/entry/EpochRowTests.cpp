#include "entry/EpochRow.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

// Guards against a fencing token that starts again at 1, which every worker has fenced off, after a row that cannot be read.
TEST_CASE("the token after an unreadable epoch row is above all earlier ones")
{
    EpochRow row { 7, "n", "10.0.0.1:80" };
    CHECK(EpochRow::read({ "cell", "epoch", row.toText(), 9 }).token == 7);
    CHECK(EpochRow::read({ "cell", "epoch", row.toText(), 9 }).owner == "n");
    const auto odd = GENERATE(as<std::string>(),
                              "",
                              "[]",
                              R"({"token":1e300,"owner":"n","address":"a"})",
                              R"({"token":-1,"owner":"n","address":"a"})",
                              R"({"token":7,"owner":7,"address":"a"})");
    CHECK(EpochRow::read({ "cell", "epoch", odd, 9 }).token == 9);
    CHECK(EpochRow::read({ "cell", "epoch", odd, 9 }).owner.empty());
}
