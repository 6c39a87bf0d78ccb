#include "dispatch/StartWindow.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace auburndoor;

namespace {

/** A link that carries one start at a time and takes serviceTime for each; starts queue in front of it. */
class SlowLink
{
public:
    explicit SlowLink(Milliseconds serviceTime) : serviceTime_(serviceTime)
    {
    }

    /** @return when the start's answer arrives */
    TimePoint send(TimePoint now)
    {
        freeAt_ = std::max(freeAt_, now) + serviceTime_;
        return freeAt_ + Milliseconds(10);
    }

private:
    Milliseconds serviceTime_;
    TimePoint freeAt_;
};

struct Outcome
{
    int answered = 0;
    int timedOut = 0;
};

/** Offers more starts than the link carries for ten seconds. @param window null to send all at once */
Outcome offerLoad(SlowLink link, StartWindow *window)
{
    constexpr Milliseconds timeout { 400 };
    constexpr int offeredInStep = 20;
    Outcome outcome;
    std::deque<std::pair<TimePoint, TimePoint>> inFlight;
    const TimePoint begin = TimePoint() + std::chrono::hours(1);
    for (auto now = begin; now < begin + std::chrono::seconds(10); now += Milliseconds(20)) {
        while (!inFlight.empty() && std::min(inFlight.front().second, inFlight.front().first + timeout) <= now) {
            const auto [sentAt, answerAt] = inFlight.front();
            const bool isAnswered = answerAt <= sentAt + timeout;
            ++(isAnswered ? outcome.answered : outcome.timedOut);
            if (window != nullptr) {
                window->onAnswer(sentAt, now, isAnswered);
            }
            inFlight.pop_front();
        }
        for (int start = 0; start < offeredInStep && (window == nullptr || window->hasRoom()); ++start) {
            if (window != nullptr) {
                window->onSent();
            }
            inFlight.emplace_back(now, link.send(now));
        }
    }
    return outcome;
}

} // namespace

// The pattern is congestion collapse: more starts than the link carries, so that each one times out although it is carried out.
TEST_CASE("starts beyond what the link carries wait at the owner and do not time out")
{
    const SlowLink link(Milliseconds(4));
    StartWindow window;
    const auto limited = offerLoad(link, &window);
    CHECK(limited.timedOut == 0);
    CHECK(limited.answered > 2000);
    const auto unlimited = offerLoad(link, nullptr);
    CHECK(unlimited.timedOut > unlimited.answered);
}

TEST_CASE("the window grows while answers are fast and shrinks once for a group of slow ones")
{
    StartWindow window;
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    const int initial = window.limit();
    for (int start = 0; start < 100; ++start) {
        window.onSent();
        window.onAnswer(now, now + Milliseconds(15), true);
    }
    CHECK(window.limit() == initial + 100);
    const int large = window.limit();
    for (int start = 0; start < 50; ++start) {
        window.onSent();
        window.onAnswer(now + Milliseconds(20), now + Milliseconds(420), false);
    }
    CHECK(window.limit() < large);
    CHECK(window.limit() > large / 2);
}
