#include "soak/OwnerPartition.h"

#include "entry/EpochRow.h"

#include <algorithm>

namespace auburndoor {

std::unique_ptr<OwnerPartition> OwnerPartition::begin(PlatformServer &platform,
                                                      const std::vector<std::unique_ptr<EntryProcess>> &entries,
                                                      const Sides &sides)
{
    const auto *row = platform.store.row("cell", "epoch");
    if (row == nullptr) {
        return nullptr;
    }
    const auto epoch = EpochRow::read(*row);
    const auto owner = std::find_if(
        entries.begin(), entries.end(), [&epoch](const auto &entry) { return entry->name() == epoch.owner; });
    if (owner == entries.end()) {
        return nullptr;
    }
    return std::unique_ptr<OwnerPartition>(new OwnerPartition(platform, (*owner)->storeLink(), epoch.token, sides));
}

OwnerPartition::OwnerPartition(PlatformServer &platform, FaultyLink &ownerStoreLink, std::int64_t ownerToken, const Sides &sides)
    : platform_(platform), ownerStoreLink_(ownerStoreLink)
{
    ownerStoreLink_.setMode(FaultyLink::Mode::Stalled);
    for (const auto &worker : sides.withoutOwner) {
        cuts_.push_back(platform_.tokenCuts.insert(platform_.tokenCuts.end(), { .worker = worker, .lastToken = ownerToken }));
    }
    for (const auto &worker : sides.withoutSuccessors) {
        cuts_.push_back(platform_.tokenCuts.insert(platform_.tokenCuts.end(), { .worker = worker, .firstToken = ownerToken + 1 }));
    }
}

OwnerPartition::~OwnerPartition()
{
    for (const auto &cut : cuts_) {
        platform_.tokenCuts.erase(cut);
    }
    ownerStoreLink_.setMode(FaultyLink::Mode::Open);
}

} // namespace auburndoor
