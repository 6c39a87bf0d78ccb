#include "settings/SettingsRelations.h"

#include <map>

namespace auburndoor {

namespace {

std::string formatMilliseconds(Milliseconds duration)
{
    return std::to_string(duration.count());
}

/** Limits a renewal period to a third of its lease, so that two renewals may be lost before the lease ends. */
void checkRenewal(const std::string &path, Milliseconds renewal, Milliseconds lease, ValidationProblems &problems)
{
    if (renewal * 3 > lease) {
        problems.push_back({ path + ".renewalMs",
                             formatMilliseconds(renewal),
                             "must be at most a third of " + path + ".leaseMs, which is " + formatMilliseconds(lease) });
    }
}

/** Reports listeners with the same port if their addresses are equal or one of them is 0.0.0.0. */
void checkListeners(const Settings &settings, ValidationProblems &problems)
{
    struct Listener
    {
        const char *path;
        const std::string &address;
        int port;
    };
    const Listener listeners[] = { { "callers", settings.callers.address, settings.callers.port },
                                   { "operators", settings.operators.address, settings.operators.port },
                                   { "peers", settings.peers.address, settings.peers.port } };
    const std::string anyAddress = "0.0.0.0";
    for (std::size_t first = 0; first < std::size(listeners); ++first) {
        for (std::size_t second = first + 1; second < std::size(listeners); ++second) {
            const auto &left = listeners[first];
            const auto &right = listeners[second];
            const auto isSameAddress = left.address == right.address || left.address == anyAddress || right.address == anyAddress;
            if (left.port != 0 && left.port == right.port && isSameAddress) {
                problems.push_back({ std::string(right.path) + ".port",
                                     std::to_string(right.port),
                                     "must differ from " + std::string(left.path) + ".port on the same address" });
            }
        }
    }
}

void checkAddresses(const Settings &settings, ValidationProblems &problems)
{
    std::map<std::string, std::size_t> seen;
    for (std::size_t index = 0; index < settings.platform.addresses.size(); ++index) {
        const auto &address = settings.platform.addresses[index];
        const auto [entry, isNew] = seen.emplace(address, index);
        if (!isNew) {
            problems.push_back({ "platform.addresses[" + std::to_string(index) + "]",
                                 "\"" + address + "\"",
                                 "must differ from platform.addresses[" + std::to_string(entry->second) + "]" });
        }
    }
}

} // namespace

void checkRelations(const Settings &settings, ValidationProblems &problems)
{
    checkRenewal("ownership", settings.ownership.renewal, settings.ownership.lease, problems);
    checkRenewal("tasks", settings.tasks.renewal, settings.tasks.lease, problems);
    checkListeners(settings, problems);
    checkAddresses(settings, problems);
    const auto &membership = settings.membership;
    // A single lost heartbeat must not cause a peer to be suspected.
    if (membership.suspicion <= membership.heartbeatPeriod * 2) {
        problems.push_back(
            { "membership.suspicionMs",
              formatMilliseconds(membership.suspicion),
              "must be above twice membership.heartbeatPeriodMs, which is " + formatMilliseconds(membership.heartbeatPeriod) });
    }
    if (membership.summaryFloor > membership.heartbeatPeriod) {
        problems.push_back(
            { "membership.summaryFloorMs",
              formatMilliseconds(membership.summaryFloor),
              "must be at most membership.heartbeatPeriodMs, which is " + formatMilliseconds(membership.heartbeatPeriod) });
    }
    if (settings.peers.address == "0.0.0.0") {
        problems.push_back({ "peers.address", "\"0.0.0.0\"", "must be an address at which the other instances reach this one" });
    }
}

} // namespace auburndoor
