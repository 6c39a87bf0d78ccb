#pragma once

#include "core/Identifier.h"
#include "core/Resources.h"
#include "declaration/Declaration.h"

#include <map>
#include <mutex>

namespace auburndoor {

/** Shares and quotas of the teams in the capacity that this instance owns. All members may be called from any thread. */
class ShareAccounts
{
public:
    /** Takes over weights and quotas from the declaration in force. */
    void setTeams(const std::map<TeamId, TeamDeclaration> &teams);

    /** @param owned capacity of the owned workers @param total capacity of the cell */
    void setCapacity(const Resources &owned, const Resources &total);

    /** Replaces the use of all teams, as CapacityLedger::useByTeam() tells it. */
    void setUse(const std::map<TeamId, Resources> &use);

    /** Adds to the use of a team between two calls of setUse(). */
    void addUse(const TeamId &team, const Resources &need);

    /** The dominant share of the team in the owned capacity, divided by its weight. */
    double weightedShare(const TeamId &team) const;

    /** The weight of a team; 1 if it is not declared. */
    int weight(const TeamId &team) const;

    /**
        True if the team may use that much more here.

        The quota here is quota x owned capacity / total capacity, rounded up, since a team with a small quota could otherwise run
        nothing anywhere. Over the cell the quota may thus be passed by less than one unit of a resource for each instance.
    */
    bool isWithinQuota(const TeamId &team, const Resources &need) const;

private:
    Resources use(const TeamId &team) const;

    mutable std::mutex mutex_;
    std::map<TeamId, TeamDeclaration> teams_;
    std::map<TeamId, Resources> useByTeam_;
    Resources owned_;
    Resources total_;
};

} // namespace auburndoor
