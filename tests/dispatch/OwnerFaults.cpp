#include "dispatch/OwnerFaults.h"

#include "observability/EventLog.h"

#include <utility>

namespace auburndoor {

OwnerFaults::OwnerFaults(OwnerFixture &cell, Draw draw, int rarity) : cell_(cell), draw_(std::move(draw)), rarity_(rarity)
{
}

void OwnerFaults::disturb()
{
    if (!cell_.owner) {
        if (draw_(0, 3) == 0) {
            cell_.takeOver();
        }
        return;
    }
    const int fault = draw_(0, rarity_ - 1);
    switch (fault) {
    case 0:
        cell_.takeOver(true);
        break;
    case 1:
        cell_.takeOver(false);
        break;
    case 2:
        cell_.killOwner();
        break;
    case 3:
    case 4:
        stopOwner();
        break;
    case 5:
        pauseOwner();
        break;
    case 6:
        cell_.store.loseAnswers(draw_(1, 3), Milliseconds(draw_(4, 4000)));
        break;
    case 7:
        cell_.store.setDown(true);
        cell_.timers.after(Milliseconds(draw_(300, 6000)), [this] { cell_.store.setDown(false); });
        break;
    case 8:
        endLater(cell_.storeLink().isCut);
        break;
    case 9:
        endLater(cell_.storeLink().refusesReads);
        break;
    case 10:
        cutOwnerOff();
        break;
    default:
        return;
    }
    EventLog::write("test.owner_fault", { { "fault", fault } });
}

void OwnerFaults::cutOwnerOff()
{
    const auto token = cell_.owner->token();
    std::set<std::string> workers;
    for (const auto &[id, worker] : cell_.fleet.workers()) {
        if (draw_(0, 1) == 0) {
            workers.insert(id);
        }
    }
    cell_.cutOff(token, workers, draw_(0, 1) == 0);
    cell_.timers.after(Milliseconds(draw_(300, 8000)), [this, token] { cell_.heal(token); });
}

void OwnerFaults::endLater(bool &fault)
{
    fault = true;
    cell_.timers.after(Milliseconds(draw_(300, 8000)), [&fault] { fault = false; });
}

void OwnerFaults::stopOwner()
{
    if (cell_.isOwnerServing()) {
        cell_.owner->flush(Milliseconds(600), [](const Ownership &) {});
        cell_.timers.advance(Milliseconds(draw_(10, 700)));
    }
    cell_.takeOver(draw_(0, 3) != 0);
}

void OwnerFaults::pauseOwner()
{
    cell_.pauseOwner();
    cell_.timers.advance(Milliseconds(draw_(100, 7000)));
    if (draw_(0, 3) != 0) {
        cell_.takeOver(false);
        cell_.timers.advance(Milliseconds(draw_(0, 3000)));
    }
    cell_.resumeOwners();
}

} // namespace auburndoor
