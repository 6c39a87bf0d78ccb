#include "entry/KeyRefusalReport.h"

#include "entry/CellProtocol.h"
#include "net/Timers.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <utility>

namespace auburndoor {

namespace {

constexpr Milliseconds lineInterval { 1000 };

} // namespace

std::string_view name(KeyRefusal refusal)
{
    switch (refusal) {
    case KeyRefusal::NoKey:
        return "no key";
    case KeyRefusal::UnknownKey:
        return "unknown key";
    case KeyRefusal::OtherAccount:
        return "job of another account";
    case KeyRefusal::None:
        break;
    }
    return "none";
}

KeyRefusalReport::KeyRefusalReport(Timers &timers, Metrics &metrics) : timers_(timers), metrics_(metrics)
{
}

void KeyRefusalReport::note(KeyRefusal refusal, const ClientCall &call, std::int64_t desiredStateVersion)
{
    if (refusal == KeyRefusal::None) {
        return;
    }
    metrics_.count("client_key_refusals_total", name(refusal));
    auto &cause = causes_[refusal];
    ++cause.unreported;
    const auto now = timers_.now();
    if (now < cause.nextLineAt) {
        return;
    }
    cause.nextLineAt = now + lineInterval;
    EventLog::writeRateLimited("call.key_refused",
                               { { "why", name(refusal) },
                                 { "calls", std::exchange(cause.unreported, 0) },
                                 { "queue", call.queue },
                                 { "job", call.job },
                                 { "account", call.account },
                                 { "desired", desiredStateVersion } });
}

} // namespace auburndoor
