#include "workload/DesiredState.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <numeric>

namespace auburndoor {

namespace {

/** The positions of all queues in the order of one of their members; queues that are equal in it keep their order. */
std::vector<std::uint32_t> sortedPositions(const std::vector<QueueSpec> &queues, std::string QueueSpec::*member)
{
    std::vector<std::uint32_t> positions(queues.size());
    std::iota(positions.begin(), positions.end(), 0U);
    std::stable_sort(positions.begin(), positions.end(), [&](std::uint32_t left, std::uint32_t right) {
        return queues[left].*member < queues[right].*member;
    });
    return positions;
}

/** Calls visit with each queue that has this value in a member, in their order. */
template<typename Visit>
void visitMatching(const std::vector<QueueSpec> &queues,
                   const std::vector<std::uint32_t> &positions,
                   std::string QueueSpec::*member,
                   std::string_view value,
                   Visit visit)
{
    if (positions.size() != queues.size()) {
        for (const auto &queue : queues) {
            if (queue.*member == value) {
                visit(queue);
            }
        }
        return;
    }
    auto next = std::lower_bound(positions.begin(), positions.end(), value, [&](std::uint32_t position, std::string_view wanted) {
        return (queues[position].*member).compare(wanted) < 0;
    });
    for (; next != positions.end() && queues[*next].*member == value; ++next) {
        visit(queues[*next]);
    }
}

} // namespace

void DesiredState::indexQueues()
{
    queuesByName = sortedPositions(queues, &QueueSpec::name);
    queuesByHost = sortedPositions(queues, &QueueSpec::host);
}

const QueueSpec *DesiredState::route(std::string_view host, std::string_view path) const
{
    const QueueSpec *best = nullptr;
    visitMatching(queues, queuesByHost, &QueueSpec::host, host, [&](const QueueSpec &queue) {
        if (path.starts_with(queue.pathPrefix) && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    });
    return best;
}

const QueueSpec *DesiredState::queue(std::string_view name) const
{
    const QueueSpec *first = nullptr;
    visitMatching(
        queues, queuesByName, &QueueSpec::name, name, [&](const QueueSpec &queue) { first = first == nullptr ? &queue : first; });
    return first;
}

const ClientAccount *DesiredState::account(std::string_view name) const
{
    const auto hasName = [name](const ClientAccount &account) { return account.name == name; };
    const auto found = std::find_if(accounts.begin(), accounts.end(), hasName);
    return found == accounts.end() ? nullptr : &*found;
}

const ClientAccount *DesiredState::accountOfKey(std::string_view key) const
{
    const ClientAccount *result = nullptr;
    for (const auto &account : accounts) {
        for (const auto &known : account.keys) {
            const bool isEqual = known.size() == key.size() && CRYPTO_memcmp(known.data(), key.data(), key.size()) == 0;
            result = isEqual && !key.empty() ? &account : result;
        }
    }
    return result;
}

} // namespace auburndoor
