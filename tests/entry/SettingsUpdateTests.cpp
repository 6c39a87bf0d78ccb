#include "entry/EntrySettings.h"
#include "entry/SettingsUpdate.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

// Guards against a changed file that is ignored, and against addresses that change under open connections.
TEST_CASE("changed limits are in force at once, and changed addresses are named")
{
    EntrySettings inForce;
    inForce.store = { "10.0.0.1", 80 };
    EntrySettings read = inForce;
    read.shutdownGrace = Milliseconds(9000);
    read.maxLease = Milliseconds(7000);
    CHECK(updateSettings(inForce, read).empty());
    CHECK(inForce.shutdownGrace == Milliseconds(9000));
    CHECK(inForce.maxLease == Milliseconds(7000));
    read.store = { "10.0.0.2", 80 };
    CHECK(updateSettings(inForce, read) == std::vector<std::string> { "store" });
    CHECK(inForce.store == Address { "10.0.0.1", 80 });
}
