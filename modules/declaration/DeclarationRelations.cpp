#include "declaration/DeclarationRelations.h"

#include "core/NearestName.h"

namespace auburndoor {

namespace {

template<typename Items>
std::vector<std::string> namesOf(const Items &items)
{
    std::vector<std::string> names;
    for (const auto &item : items) {
        names.push_back(item.first.text());
    }
    return names;
}

std::string fieldOf(const std::string &path, const char *name)
{
    return path.empty() ? name : path + "." + name;
}

template<typename Items, typename Id>
void checkReference(const Items &items, const Id &id, const std::string &path, const char *kind, ValidationProblems &problems)
{
    // The parser has already reported an empty identifier as missing or malformed.
    if (!id.isEmpty() && items.count(id) == 0) {
        problems.push_back({ path,
                             "\"" + id.text() + "\"",
                             "names no " + std::string(kind) + " of the file" + suggestionFor(id.text(), namesOf(items)) });
    }
}

/** Returns the amounts that a job holds at the same time: one task of a batch job, all tasks of the other kinds. */
Resources computeConcurrentNeed(const JobDeclaration &job)
{
    if (job.kind == JobKind::Batch) {
        return job.need;
    }
    const auto &need = job.need;
    const std::int64_t count = job.taskCount;
    return {
        need.milliCores * count, need.memoryMiB * count, need.accelerators * count, need.slots * count, need.connections * count
    };
}

/** Reports a job that exceeds its team's quota, because it would wait forever. */
void checkQuota(const JobDeclaration &job, const TeamDeclaration &team, const std::string &path, ValidationProblems &problems)
{
    struct Amount
    {
        const char *name;
        std::int64_t need;
        std::int64_t quota;
    };
    const auto need = computeConcurrentNeed(job);
    const auto &quota = team.quota;
    const Amount amounts[] = { { "milliCores", need.milliCores, quota.milliCores },
                               { "memoryMiB", need.memoryMiB, quota.memoryMiB },
                               { "accelerators", need.accelerators, quota.accelerators },
                               { "slots", need.slots, quota.slots },
                               { "connections", need.connections, quota.connections } };
    for (const auto &amount : amounts) {
        if (amount.quota != 0 && amount.need > amount.quota) {
            problems.push_back({ fieldOf(path, "need") + "." + amount.name,
                                 std::to_string(amount.need),
                                 "is more than the quota of team \"" + team.id.text() + "\", which is "
                                     + std::to_string(amount.quota)
                                     + (job.kind == JobKind::Batch ? "" : " (all tasks of this kind of job run at once)") });
        }
    }
}

} // namespace

void checkJob(const JobDeclaration &job, const Declaration &declaration, const std::string &path, ValidationProblems &problems)
{
    checkReference(declaration.services, job.service, fieldOf(path, "service"), "service", problems);
    checkReference(declaration.teams, job.team, fieldOf(path, "team"), "team", problems);
    const auto team = declaration.teams.find(job.team);
    if (team != declaration.teams.end()) {
        checkQuota(job, team->second, path, problems);
    }
}

void checkRelations(const Declaration &declaration, ValidationProblems &problems)
{
    std::map<std::string, std::string> teamOfDigest;
    for (const auto &[id, team] : declaration.teams) {
        const auto [entry, isNew] = teamOfDigest.emplace(team.tokenDigest, id.text());
        if (!isNew && !team.tokenDigest.empty()) {
            problems.push_back({ "teams." + id.text() + ".tokenDigest",
                                 {},
                                 "is also the digest of team \"" + entry->second + "\"; a token must name one team" });
        }
    }
    for (const auto &[id, job] : declaration.jobs) {
        checkJob(job, declaration, "jobs." + id.text(), problems);
    }
}

} // namespace auburndoor
