// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace auburndoor;

TEST_CASE("timers run in the order of their ends, and those of one end in the order of their start")
{
    EventLoop loop;
    std::vector<int> order;
    loop.after(Milliseconds(30), [&] { order.push_back(4); });
    loop.after(Milliseconds(10), [&] { order.push_back(2); });
    loop.after(Milliseconds(20), [&] { order.push_back(3); });
    loop.after(Milliseconds(0), [&] { order.push_back(0); });
    loop.after(Milliseconds(0), [&] { order.push_back(1); });
    loop.after(Milliseconds(50), [&] { loop.stop(); });
    loop.run();
    CHECK(order == std::vector<int> { 0, 1, 2, 3, 4 });
}

TEST_CASE("a timer does not end early")
{
    EventLoop loop;
    const auto begin = loop.now();
    loop.after(Milliseconds(20), [&] { loop.stop(); });
    loop.run();
    CHECK(loop.now() - begin >= Milliseconds(20));
}

// Guards against timers that are lost when the loop is stopped while several of them are due.
TEST_CASE("timers that are due when the loop is stopped run in its next run")
{
    EventLoop loop;
    int ran = 0;
    for (int timer = 0; timer < 3; ++timer) {
        loop.after(Milliseconds(1), [&] {
            ++ran;
            loop.stop();
        });
    }
    for (int run = 1; run <= 3; ++run) {
        loop.run();
        CHECK(ran == run);
    }
}

// Guards against an alarm that stays at the end of a timer which ends later.
TEST_CASE("a timer that is started by an action and ends before all others runs in time")
{
    EventLoop loop;
    const auto begin = loop.now();
    loop.after(Milliseconds(5000), [&] { loop.stop(); });
    loop.after(Milliseconds(1), [&] { loop.after(Milliseconds(5), [&] { loop.stop(); }); });
    loop.run();
    CHECK(loop.now() - begin < Milliseconds(2000));
}
