#pragma once

#include "core/Identifier.h"
#include "core/Resources.h"
#include "declaration/Declaration.h"

#include <map>
#include <mutex>

namespace auburndoor {

/** Use, weights and quotas of the teams on the workers that this instance owns. All members may be called from any thread. */
class ShareAccounts
{
public:
    /** Sets the weights and quotas of the teams. Called when a declaration comes into force. */
    void setTeams(const std::map<TeamId, TeamDeclaration> &teams);

    /** Sets the capacity of the workers that this instance owns and of all workers of the cell. */
    void setCapacity(const Resources &owned, const Resources &total);

    /** Replaces the use of all teams by the value of CapacityLedger::useByTeam(). */
    void setUse(const std::map<TeamId, Resources> &use);

    /** Adds to the use of a team until the next call of setUse(). */
    void addUse(const TeamId &team, const Resources &need);

    /** The dominant share (DRF) of the team in the owned capacity, divided by its weight. */
    double weightedShare(const TeamId &team) const;

    /** The weight of a team; 1 if it is not declared. */
    int weight(const TeamId &team) const;

    /**
        True if the team stays within its quota on the owned workers after using the need as well.

        An instance enforces quota x owned capacity / total capacity for each resource, rounded up: otherwise a team with a small
        quota could run nothing on any instance. In the whole cell, the quota of a resource may thus be exceeded by less than one
        unit for each instance. Teams that are not declared have no quota.
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
