#include "entry/AdmissionControl.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace auburndoor;

namespace {

/** An admission control on a clock that advances with the samples. */
class AdmissionFixture
{
public:
    AdmissionFixture() : control(1)
    {
        queue.latencyAllowance = Milliseconds(500);
    }

    void addSamples(Milliseconds duration, const AdmissionControl::Load &load)
    {
        for (Milliseconds passed { 0 }; passed < duration; passed += AdmissionControl::sampleInterval) {
            now_ += AdmissionControl::sampleInterval;
            control.addSample(now_, load);
        }
    }

    AdmissionControl control;
    QueueSpec queue;

private:
    TimePoint now_ = TimePoint() + std::chrono::hours(1);
};

const AdmissionControl::Load loopBehind { Milliseconds(120), Milliseconds(0) };
const AdmissionControl::Load placementBehind { Milliseconds(20), Milliseconds(900) };
const AdmissionControl::Load idle { Milliseconds(2), Milliseconds(0) };
constexpr AdmissionControl::Backlog longBacklog { Milliseconds(3000), std::chrono::milliseconds(10) };

} // namespace

// Guards against refusals while workers are free: one long callback, or a backlog that waits for workers only.
TEST_CASE("nothing is refused while loop and placement keep up, however long the backlog is")
{
    AdmissionFixture fixture;
    fixture.addSamples(Milliseconds(20000), { Milliseconds(20), Milliseconds(100) });
    CHECK_FALSE(fixture.control.refuse(fixture.queue, longBacklog));
    fixture.addSamples(Milliseconds(50), { Milliseconds(900), Milliseconds(900) });
    CHECK_FALSE(fixture.control.refuse(fixture.queue, longBacklog));
}

// Guards against refusals in a burst that drains in time.
TEST_CASE("a job that need not wait for long is admitted under overload")
{
    AdmissionFixture fixture;
    fixture.addSamples(Milliseconds(5000), placementBehind);
    REQUIRE(fixture.control.isOverloaded());
    CHECK_FALSE(fixture.control.refuse(fixture.queue, { Milliseconds(500), std::chrono::milliseconds(10) }));
    CHECK(fixture.control.refuse(fixture.queue, longBacklog));
}

// Guards against an owner that answers in time, and whose placement falls further behind all the same; and the reverse.
TEST_CASE("a loop or a placement that stays behind is an overload")
{
    for (const auto &load : { loopBehind, placementBehind }) {
        AdmissionFixture fixture;
        fixture.addSamples(Milliseconds(500), load);
        CHECK(fixture.control.isOverloaded());
    }
}

// Guards against an owner that goes on refusing after the overload, while its clients use up their retries.
TEST_CASE("an overload that has ended leads to no refusals after two seconds")
{
    AdmissionFixture fixture;
    fixture.addSamples(Milliseconds(10000), { Milliseconds(700), Milliseconds(9000) });
    REQUIRE(fixture.control.isOverloaded());
    fixture.addSamples(Milliseconds(2000), idle);
    CHECK_FALSE(fixture.control.refuse(fixture.queue, longBacklog));
}

// The pattern is the thundering herd: clients that are refused together, come back together and are refused again.
TEST_CASE("refused clients are told to return one after another, and soon enough for their retries")
{
    AdmissionFixture fixture;
    fixture.addSamples(Milliseconds(10000), placementBehind);
    constexpr int clients = 200;
    constexpr Milliseconds window { 500 };
    std::vector<Milliseconds> delays;
    for (int client = 0; client < clients; ++client) {
        const auto delay = fixture.control.refuse(fixture.queue, { Milliseconds(1000), std::chrono::milliseconds(10) });
        REQUIRE(delay);
        delays.push_back(*delay);
    }
    std::sort(delays.begin(), delays.end());
    CHECK(delays.front() >= Milliseconds(560));
    CHECK(delays.back() <= Milliseconds(7200));
    // At 100 jobs a second the owner begins 50 in half a second.
    for (std::size_t first = 0; first < delays.size(); ++first) {
        const auto end = std::upper_bound(delays.begin(), delays.end(), delays[first] + window);
        CHECK(end - delays.begin() - static_cast<std::ptrdiff_t>(first) < 75);
    }
}
