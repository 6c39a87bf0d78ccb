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

// Guards against a time that is believed before the directory keeps to it: evidence that a worker has left rests on the shortest
// one.
TEST_CASE("a shorter lifetime of directory entries applies at once, a longer one after a restart")
{
    EntrySettings inForce;
    EntrySettings read = inForce;
    read.entryLifetime = Milliseconds(3000);
    CHECK(updateSettings(inForce, read).empty());
    CHECK(inForce.entryLifetime == Milliseconds(3000));
    read.entryLifetime = Milliseconds(9000);
    CHECK(updateSettings(inForce, read) == std::vector<std::string> { "entryLifetime" });
    CHECK(inForce.entryLifetime == Milliseconds(3000));
}
