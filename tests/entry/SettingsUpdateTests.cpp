#include "entry/EntrySettings.h"
#include "entry/SettingsUpdate.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

// Guards against changes of the settings file that are ignored, and against addresses that change while connections are open.
TEST_CASE("changed limits apply at once, and changed addresses are kept and reported")
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
