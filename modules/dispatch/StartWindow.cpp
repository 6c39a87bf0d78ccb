#include "dispatch/StartWindow.h"

#include <algorithm>

namespace auburndoor {

namespace {

// Enough to notice when answers become fast again.
constexpr double minLimit = 8;
// More than a large gang has members.
constexpr double maxLimit = 512;
// Answers take about 15 ms across zones. A start counts as unanswered after 400 ms, and other traffic waits behind the starts.
constexpr Milliseconds slowAnswer { 120 };
constexpr double decreaseFactor = 0.7;

} // namespace

bool StartWindow::hasRoom() const
{
    return inFlight_ < limit();
}

void StartWindow::onSent()
{
    ++inFlight_;
}

void StartWindow::onAnswer(TimePoint sentAt, TimePoint answeredAt, bool isAnswered)
{
    inFlight_ = std::max(0, inFlight_ - 1);
    if (isAnswered && answeredAt - sentAt < slowAnswer) {
        limit_ = std::min(limit_ + 1, maxLimit);
        return;
    }
    // The starts sent before the last reduction were slow for the same cause.
    if (sentAt >= reducedAt_) {
        limit_ = std::max(limit_ * decreaseFactor, minLimit);
        reducedAt_ = answeredAt;
    }
}

int StartWindow::limit() const
{
    return static_cast<int>(limit_);
}

} // namespace auburndoor
