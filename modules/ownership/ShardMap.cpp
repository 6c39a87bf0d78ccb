#include "ownership/ShardMap.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace auburndoor {

namespace {

XXH64_hash_t computeHash(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

/** Returns the candidate with the highest hash of key and id. Adding or removing a candidate moves only that candidate's keys. */
InstanceId chooseByRendezvousHash(const std::string &key, const std::vector<OwnerCandidate> &candidates)
{
    const auto weight = [&](const OwnerCandidate &candidate) {
        return std::pair(computeHash(key + '\n' + candidate.id.text()), candidate.id);
    };
    const auto best = std::max_element(
        candidates.begin(), candidates.end(), [&](const auto &left, const auto &right) { return weight(left) < weight(right); });
    return best == candidates.end() ? InstanceId() : best->id;
}

template<typename Predicate>
std::vector<OwnerCandidate> filterCandidates(const std::vector<OwnerCandidate> &candidates, Predicate predicate)
{
    std::vector<OwnerCandidate> result;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(result), predicate);
    return result;
}

} // namespace

ShardMap::ShardMap(int shardsPerDomain, OwnershipMode mode, Domains domains)
    : shardsPerDomain_(std::max(1, shardsPerDomain)), mode_(mode), domains_(std::move(domains))
{
}

ShardId ShardMap::shardOf(const FailureDomainId &domain, const WorkerId &worker) const
{
    const auto shardIndex = computeHash(worker.text()) % static_cast<XXH64_hash_t>(shardsPerDomain_);
    return ShardId(domain.text() + '/' + std::to_string(shardIndex));
}

std::vector<ShardId> ShardMap::shards() const
{
    std::vector<ShardId> result;
    for (const auto &[domain, region] : domains_) {
        for (int shardIndex = 0; shardIndex < shardsPerDomain_; ++shardIndex) {
            result.emplace_back(domain.text() + '/' + std::to_string(shardIndex));
        }
    }
    return result;
}

FailureDomainId ShardMap::domainOf(const ShardId &shard)
{
    return FailureDomainId(shard.text().substr(0, shard.text().rfind('/')));
}

InstanceId ShardMap::preferredOwner(const ShardId &shard, const std::vector<OwnerCandidate> &candidates) const
{
    if (mode_ == OwnershipMode::Single) {
        return chooseByRendezvousHash("single", candidates);
    }
    const auto domain = domainOf(shard);
    const auto domainCandidates = filterCandidates(candidates,
                                                   [&](const auto &candidate) { return candidate.failureDomain == domain; });
    if (!domainCandidates.empty()) {
        return chooseByRendezvousHash(shard.text(), domainCandidates);
    }
    const auto found = domains_.find(domain);
    if (found != domains_.end()) {
        const auto regionCandidates = filterCandidates(candidates,
                                                       [&](const auto &candidate) { return candidate.region == found->second; });
        if (!regionCandidates.empty()) {
            return chooseByRendezvousHash(shard.text(), regionCandidates);
        }
    }
    return chooseByRendezvousHash(shard.text(), candidates);
}

} // namespace auburndoor
