#pragma once

#include "dispatch/OwnerFixture.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace auburndoor {

/** A cell whose jobs belong to accounts. Each start on a worker is checked against the limit of its account. */
class AccountCell : public OwnerFixture
{
public:
    AccountCell()
    {
        fleet.onStarted = [this, checkStart = fleet.onStarted](SimulatedWorker &worker, const StartCommand &command) {
            checkStart(worker, command);
            const auto &name = jobs_[command.task.job].first;
            const auto used = use(name);
            peaks[name] = std::max(peaks[name], used);
            if (limits_.contains(name) && limits_[name] > 0 && used > limits_[name]) {
                violations_.push_back(name + " has " + std::to_string(used) + " of " + std::to_string(limits_[name]) + " mcores");
            }
        };
    }

    /** Sets the limit of an account in thousandths of a core; 0 for none. */
    void setLimit(const std::string &name, std::int64_t milliCores, double weight = 1.0)
    {
        limits_[name] = milliCores;
        weights_[name] = weight;
        std::vector<ClientAccount> accounts;
        for (const auto &[id, limit] : limits_) {
            accounts.push_back({ id, {}, weights_[id], { limit, 0, 0, 0, 0 } });
        }
        setAccounts(std::move(accounts));
    }

    /** As submit(), for an account; each task of the job takes this many thousandths of a core. */
    ClientResult::Outcome submitFor(const std::string &name,
                                    const std::string &job,
                                    int tasks,
                                    int milliCores,
                                    const std::string &fields = {},
                                    const std::string &queue = "normal")
    {
        account = name;
        jobs_[job] = { name, milliCores };
        return submit(job, jobBody(tasks, milliCores, fields), queue);
    }

    /** What the runs of the account take on all workers, in thousandths of a core. */
    std::int64_t use(const std::string &name)
    {
        std::int64_t sum = 0;
        for (const auto &[id, worker] : fleet.workers()) {
            for (const auto &[key, run] : worker->runs()) {
                const auto &job = jobs_[key.first.job];
                sum += job.first == name ? job.second : 0;
            }
        }
        return sum;
    }

    /** Starts that brought an account above its limit. */
    const std::vector<std::string> &overuse() const
    {
        return violations_;
    }

    /** The most that each account has had, in thousandths of a core. */
    std::map<std::string, std::int64_t> peaks;

private:
    std::map<std::string, std::int64_t> limits_;
    std::map<std::string, double> weights_;
    /** The account of each job, and what each of its tasks takes. */
    std::map<std::string, std::pair<std::string, std::int64_t>> jobs_;
    std::vector<std::string> violations_;
};

} // namespace auburndoor
