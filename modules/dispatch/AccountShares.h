#pragma once

#include "core/Resources.h"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburndoor {

struct DesiredState;
struct WorkerState;

/**
    Which accounts have more of a service than their share while the service is scarce.

    Jobs without an account share the account with the empty name and weight 1. Without accounts in the desired state no account is
    ever above its level. Used on the loop's thread.
*/
class AccountShares
{
public:
    /** Takes over the weights of a version of the desired state. */
    void setDesiredState(const DesiredState &desiredState);

    /** Follows the runs and the capacity of a worker; one that is not usable counts as having neither. */
    void update(const WorkerState &worker, bool isUsable);
    /** Removes a worker. */
    void remove(const std::string &worker);
    /** Follows a start on a worker until the next update() of it. */
    void recordStart(const std::string &worker, const std::string &account, const Resources &need);

    /** What waits in one service. */
    struct Waiting
    {
        std::map<std::string, Resources> byAccount;
        /** Some tasks have found no room, though they may start. */
        bool isShortOfRoom = false;
    };
    /** Computes the levels again. @param waiting by service: the tasks that may start, up to the limits of their accounts */
    void computeLevels(const std::map<std::string, Waiting> &waiting);

    /** True if accounts have shares. */
    bool isActive() const
    {
        return isActive_;
    }
    /** True if the service is scarce. */
    bool hasLevels(const std::string &service) const;
    /** True if the service is scarce and the account has its level or more of it. */
    bool isAboveLevel(const std::string &service, const std::string &account) const;
    /** What the account may still get of the service below its level, as a dominant share; infinite if it is not scarce. */
    double roomBelowLevel(const std::string &service, const std::string &account) const;
    /** The dominant share of an amount of the service. */
    double shareOf(const std::string &service, const Resources &amount) const;

private:
    using Uses = std::vector<std::pair<std::string, Resources>>;

    struct Worker
    {
        std::string service;
        Resources capacity;
        Uses uses;
    };
    struct Service
    {
        Resources capacity;
        std::map<std::string, Resources> uses;
        /** The capacity of which the levels are shares. */
        Resources sharedCapacity;
        std::map<std::string, double> levels;
        /** The level of an account of weight 1 that was not known when the levels were computed. */
        double unitLevel = 0;
    };

    double weightOf(const std::string &account) const;
    void computeLevels(Service &service, const Waiting &waiting) const;
    void subtract(const Worker &worker);

    bool isActive_ = false;
    std::map<std::string, double> weights_;
    std::unordered_map<std::string, Worker> workers_;
    std::map<std::string, Service> services_;
};

} // namespace auburndoor
