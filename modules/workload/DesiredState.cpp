#include "workload/DesiredState.h"

#include <openssl/crypto.h>

#include <algorithm>

namespace auburndoor {

const QueueSpec *DesiredState::route(std::string_view host, std::string_view path) const
{
    const QueueSpec *best = nullptr;
    for (const auto &queue : queues) {
        if (queue.host == host && path.starts_with(queue.pathPrefix)
            && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueueSpec *DesiredState::queue(std::string_view name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(), [name](const QueueSpec &queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
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
