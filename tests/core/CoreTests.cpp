#include "core/Failure.h"
#include "core/FlagNames.h"
#include "core/ManualClock.h"
#include "core/Resources.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace auburndoor;

TEST_CASE("failure steps and reasons have the expected names", "[core]")
{
    // Guards against an enum value added without its name, which would shift the names of all later values.
    CHECK(name(FailureStep::None) == "none");
    CHECK(name(FailureStep::Shutdown) == "shutdown");
    CHECK(name(FailureReason::None) == "none");
    CHECK(name(FailureReason::NoCapacity) == "no-capacity");
    CHECK(name(FailureReason::OutcomeUnknown) == "outcome-unknown");
}

TEST_CASE("resources fit only if every amount fits", "[core]")
{
    const Resources capacity { 32'000, 65'536, 8, 8, 64 };
    CHECK(Resources { 1000, 1024, 1, 1, 1 }.fitsIn(capacity));
    CHECK_FALSE(Resources { 1000, 1024, 9, 1, 1 }.fitsIn(capacity));
    CHECK_FALSE((capacity - Resources { 33'000, 0, 0, 0, 0 }).isValid());
    CHECK(dominantShare({ 16'000, 0, 6, 0, 0 }, capacity) == Approx(0.75));
}

TEST_CASE("a manual clock wakes a waiting thread at its deadline", "[core]")
{
    ManualClock clock;
    std::mutex mutex;
    std::condition_variable condition;
    bool isWoken = false;
    std::thread thread([&] {
        std::unique_lock lock(mutex);
        isWoken = !clock.waitUntil(lock, condition, clock.now() + Milliseconds(500), [] { return false; });
    });
    while (clock.waiterCount() == 0) {
        std::this_thread::yield();
    }
    clock.advance(Milliseconds(500));
    thread.join();
    CHECK(isWoken);
}

TEST_CASE("flags may be written with hyphens, and their values stay as they are", "[core]")
{
    // Guards against a documented flag that the parser rejects, and against hyphens being replaced in file names.
    std::string program = "auburndoord";
    std::string flag = "--check-settings";
    std::string file = "--port-file=some-folder/a-file";
    std::string value = "a-value";
    char *arguments[] = { program.data(), flag.data(), file.data(), value.data() };
    acceptHyphens(4, arguments);
    CHECK(flag == "--check_settings");
    CHECK(file == "--port_file=some-folder/a-file");
    CHECK(value == "a-value");
}
