#pragma once

#include "soak/EntryProcess.h"
#include "soak/PlatformServer.h"

#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

/** Parts the owner and some workers from the store, the other processes' commands and the other workers. Peers stay connected. */
class OwnerPartition
{
public:
    struct Sides
    {
        /** Workers that the owner does not reach. */
        std::set<std::string> withoutOwner;
        /** Workers that no later owner reaches. */
        std::set<std::string> withoutSuccessors;
    };

    /** Parts the present owner. @return null if the store names none of the entries as owner */
    static std::unique_ptr<OwnerPartition> begin(PlatformServer &platform,
                                                 const std::vector<std::unique_ptr<EntryProcess>> &entries,
                                                 const Sides &sides);
    /** Ends the partition. */
    ~OwnerPartition();
    OwnerPartition(const OwnerPartition &) = delete;
    OwnerPartition &operator=(const OwnerPartition &) = delete;

private:
    OwnerPartition(PlatformServer &platform, FaultyLink &ownerStoreLink, std::int64_t ownerToken, const Sides &sides);

    PlatformServer &platform_;
    FaultyLink &ownerStoreLink_;
    std::vector<std::list<TokenCut>::iterator> cuts_;
};

} // namespace auburndoor
