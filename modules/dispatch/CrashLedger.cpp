#include "dispatch/CrashLedger.h"

#include <algorithm>

namespace auburndoor {

namespace {

// Unrelated crashes rarely hit the same task twice, so few sound tasks are isolated.
constexpr std::size_t crashesBeforeIsolation = 2;
// A task may be given up after two crashes; a third tells it from tasks that only ran beside the cause.
constexpr std::size_t crashesBeforeProof = 3;
// A task without such evidence is given up after this many crashes, since a crowded cell may never isolate it.
constexpr std::size_t crashesWithoutEvidence = 4;

} // namespace

bool CrashLedger::record(const HostedRun &crash)
{
    const bool isKnown = std::any_of(crashes_.begin(), crashes_.end(), [&crash](const HostedRun &known) {
        return known.worker == crash.worker && known.incarnation == crash.incarnation;
    });
    return !isKnown && crashes_.insert(crash).second;
}

Suspicion CrashLedger::suspicion() const
{
    const bool wasAlone = std::any_of(crashes_.begin(), crashes_.end(), [](const HostedRun &crash) { return crash.isAlone; });
    const bool wasAlwaysLast = std::all_of(crashes_.begin(), crashes_.end(), [](const HostedRun &crash) { return crash.isLast; });
    if (crashes_.size() >= crashesWithoutEvidence || (crashes_.size() >= crashesBeforeProof && (wasAlone || wasAlwaysLast))) {
        return Suspicion::Proven;
    }
    if (crashes_.size() >= crashesBeforeIsolation) {
        return Suspicion::Isolated;
    }
    return crashes_.empty() ? Suspicion::None : Suspicion::Suspected;
}

void CrashLedger::clear()
{
    crashes_.clear();
}

} // namespace auburndoor
