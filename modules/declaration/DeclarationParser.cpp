#include "declaration/DeclarationParser.h"

#include "core/JsonFields.h"
#include "declaration/DeclarationRelations.h"
#include "declaration/Digest.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace auburndoor {

namespace {

constexpr std::size_t maximumKinds = 64;
constexpr std::size_t maximumBodyBytes = 64 << 10;
constexpr Milliseconds longestDeadline { 86'400'000 };
constexpr std::int64_t maximumTasks = 10'000;
/** Limits amounts so that their products and sums do not overflow 64 bits. */
constexpr std::int64_t maximumAmount = 1'000'000'000;

void readPriority(JsonFields &fields, Priority &target)
{
    fields.readChoice("priority",
                      target,
                      { { "urgent", Priority::Urgent }, { "normal", Priority::Normal }, { "background", Priority::Background } });
}

void readNeed(JsonFields fields, Resources &target)
{
    target.slots = 1;
    target.connections = 1;
    fields.read("milliCores", target.milliCores, 1, 1'024'000, Presence::Required);
    fields.read("memoryMiB", target.memoryMiB, 1, 16'777'216, Presence::Required);
    fields.read("accelerators", target.accelerators, 0, 64);
    fields.read("slots", target.slots, 1, 1024);
    fields.read("connections", target.connections, 0, 4096);
    fields.finish();
}

void readQuota(JsonFields fields, Resources &target)
{
    fields.read("milliCores", target.milliCores, 0, maximumAmount);
    fields.read("memoryMiB", target.memoryMiB, 0, maximumAmount);
    fields.read("accelerators", target.accelerators, 0, maximumAmount);
    fields.read("slots", target.slots, 0, maximumAmount);
    fields.read("connections", target.connections, 0, maximumAmount);
    fields.finish();
}

void readKinds(JsonFields &fields, std::vector<std::string> &target, ValidationProblems &problems)
{
    for (const auto &element : fields.elements("nonRepeatableKinds", maximumKinds)) {
        const auto text = element.value->is_string() ? element.value->get<std::string>() : std::string();
        if (!isIdentifier(text)) {
            problems.push_back({ element.path, shownValue(*element.value), std::string("must be ") + identifierRule });
        } else if (std::find(target.begin(), target.end(), text) != target.end()) {
            problems.push_back({ element.path, shownValue(*element.value), "is given twice" });
        } else {
            target.push_back(text);
        }
    }
}

void checkTimes(const ServiceDeclaration &service, JsonFields &fields)
{
    const auto maximum = std::to_string(service.maximumDeadline.count());
    if (service.defaultDeadline > service.maximumDeadline) {
        fields.add(fields.has("defaultDeadlineMs") ? "defaultDeadlineMs" : "maximumDeadlineMs",
                   "the default deadline of " + std::to_string(service.defaultDeadline.count())
                       + " ms must be at most the maximum of " + maximum + " ms");
    }
    if (fields.has("longWorkMs") && service.longWork > service.maximumDeadline) {
        fields.add("longWorkMs", "must be at most the maximum deadline of " + maximum + " ms, or no work would count as long");
    }
}

ServiceDeclaration readService(const JsonItem &item, ValidationProblems &problems)
{
    JsonFields fields(*item.value, item.path, problems);
    ServiceDeclaration service;
    service.id = ServiceId(item.name);
    readNeed(fields.inner("need", Presence::Required), service.need);
    readPriority(fields, service.priority);
    fields.read("defaultDeadlineMs", service.defaultDeadline, Milliseconds(1), longestDeadline);
    fields.read("maximumDeadlineMs", service.maximumDeadline, Milliseconds(1), longestDeadline);
    fields.read("repeatable", service.isRepeatable);
    readKinds(fields, service.nonRepeatableKinds, problems);
    fields.read("queueLimit", service.queueLimit, 0, 1'000'000);
    fields.read("shortReservePercent", service.shortReservePercent, 0, 100);
    fields.read("longWorkMs", service.longWork, Milliseconds(1), longestDeadline);
    checkTimes(service, fields);
    fields.finish();
    return service;
}

TeamDeclaration readTeam(const JsonItem &item, ValidationProblems &problems)
{
    JsonFields fields(*item.value, item.path, problems);
    TeamDeclaration team;
    team.id = TeamId(item.name);
    // A token that was pasted in place of its digest must not show up in a reply or log.
    fields.read("tokenDigest",
                team.tokenDigest,
                Digest::isWellFormed,
                "a SHA-256 digest of 64 lower-case hexadecimal digits; the value is not shown",
                Presence::Required,
                true);
    fields.read("weight", team.weight, 1, 1000);
    readQuota(fields.inner("quota"), team.quota);
    fields.finish();
    return team;
}

template<typename Id>
void readReference(JsonFields &fields, const char *name, Id &target)
{
    std::string text;
    fields.read(name, text, isIdentifier, identifierRule, Presence::Required);
    target = Id(text);
}

/** Reads one job. @param services supply the need and priority if the job does not give them */
JobDeclaration readJob(JsonFields fields,
                       const JobId &id,
                       const std::map<ServiceId, ServiceDeclaration> &services,
                       ValidationProblems &problems)
{
    JobDeclaration job;
    job.id = id;
    const auto before = problems.size();
    fields.readChoice("kind",
                      job.kind,
                      { { "batch", JobKind::Batch }, { "gang", JobKind::Gang }, { "service", JobKind::Service } },
                      Presence::Required);
    readReference(fields, "team", job.team);
    readReference(fields, "service", job.service);
    const auto service = services.find(job.service);
    if (service != services.end()) {
        job.need = service->second.need;
        job.priority = service->second.priority;
    }
    fields.read("taskCount", job.taskCount, 1, maximumTasks);
    if (fields.has("need")) {
        readNeed(fields.inner("need"), job.need);
    }
    readPriority(fields, job.priority);
    const auto rule = "a text of at most " + std::to_string(maximumBodyBytes) + " bytes";
    fields.read(
        "body", job.body, [](const std::string &text) { return text.size() <= maximumBodyBytes; }, rule);
    fields.read("maximumAttempts", job.maximumAttempts, 1, 100);
    if (problems.size() == before && job.kind == JobKind::Gang && job.taskCount < 2) {
        fields.add("taskCount", "must be at least 2 for a gang; the default is 1");
    }
    fields.finish();
    return job;
}

void checkName(const JsonItem &item, ValidationProblems &problems)
{
    if (!isIdentifier(item.name)) {
        problems.push_back({ item.path, {}, std::string("the name must be ") + identifierRule });
    }
}

Declaration readDeclaration(JsonFields &root, ValidationProblems &problems)
{
    Declaration declaration;
    for (const auto &item : root.entries("services", DeclarationParser::maximumServices)) {
        checkName(item, problems);
        declaration.services[ServiceId(item.name)] = readService(item, problems);
    }
    for (const auto &item : root.entries("teams", DeclarationParser::maximumTeams)) {
        checkName(item, problems);
        declaration.teams[TeamId(item.name)] = readTeam(item, problems);
    }
    for (const auto &item : root.entries("jobs", DeclarationParser::maximumJobs)) {
        checkName(item, problems);
        const JobId id(item.name);
        declaration.jobs[id] = readJob({ *item.value, item.path, problems }, id, declaration.services, problems);
    }
    root.finish();
    return declaration;
}

bool checkFileSize(const std::string &text, ValidationProblems &problems)
{
    if (text.size() <= DeclarationParser::maximumFileBytes) {
        return true;
    }
    problems.push_back({ {}, {}, "is larger than " + std::to_string(DeclarationParser::maximumFileBytes) + " bytes" });
    return false;
}

void limitProblems(ValidationProblems &problems)
{
    if (problems.size() > DeclarationParser::maximumListedProblems) {
        const auto unlistedProblems = problems.size() - DeclarationParser::maximumListedProblems;
        problems.resize(DeclarationParser::maximumListedProblems);
        problems.push_back({ {}, {}, "has " + std::to_string(unlistedProblems) + " more problems that are not listed" });
    }
}

} // namespace

std::optional<Declaration> DeclarationParser::parse(const std::string &text, ValidationProblems &problems)
{
    problems.clear();
    if (!checkFileSize(text, problems)) {
        return std::nullopt;
    }
    const auto value = parseJson(text, problems);
    if (!value) {
        return std::nullopt;
    }
    JsonFields root(*value, {}, problems);
    auto declaration = readDeclaration(root, problems);
    checkRelations(declaration, problems);
    limitProblems(problems);
    if (!problems.empty()) {
        return std::nullopt;
    }
    return declaration;
}

std::optional<JobDeclaration> DeclarationParser::parseJob(const JobId &id,
                                                          const std::string &text,
                                                          const Declaration &declaration,
                                                          ValidationProblems &problems)
{
    problems.clear();
    if (!checkFileSize(text, problems)) {
        return std::nullopt;
    }
    const auto value = parseJson(text, problems);
    if (!value) {
        return std::nullopt;
    }
    auto job = readJob({ *value, {}, problems }, id, declaration.services, problems);
    checkJob(job, declaration, {}, problems);
    limitProblems(problems);
    if (!problems.empty()) {
        return std::nullopt;
    }
    return job;
}

} // namespace auburndoor
