#include "settings/SettingsLoader.h"

#include "core/JsonFields.h"
#include "core/TextFile.h"
#include "declaration/Digest.h"
#include "settings/SettingsRelations.h"

#include <filesystem>
#include <nlohmann/json.hpp>

namespace auburndoor {

namespace {

constexpr std::size_t maximumFileBytes = 1 << 20;
constexpr std::size_t maximumAddresses = 16;
constexpr std::size_t maximumTokens = 64;
constexpr std::size_t minimumSecretLength = 16;
constexpr std::size_t maximumSecretLength = 256;
constexpr std::int64_t maximumBodyBytes = 64 << 20;
constexpr Milliseconds maximumPeriod { 600'000 };

template<typename Id>
void readIdentifier(JsonFields &fields, const char *name, Id &target)
{
    std::string text;
    fields.read(name, text, isIdentifier, identifierRule, Presence::Required);
    target = Id(text);
}

bool isSecret(const std::string &text)
{
    return text.size() >= minimumSecretLength && text.size() <= maximumSecretLength;
}

const std::string &describeSecretRule()
{
    static const auto rule = "a text of " + std::to_string(minimumSecretLength) + " to " + std::to_string(maximumSecretLength)
                             + " characters; the value is not shown";
    return rule;
}

void readInstance(JsonFields fields, Settings::Instance &target)
{
    readIdentifier(fields, "id", target.id);
    readIdentifier(fields, "failureDomain", target.failureDomain);
    readIdentifier(fields, "region", target.region);
    fields.finish();
}

void readListener(JsonFields &fields, ListenerSettings &target)
{
    fields.read("address", target.address, isIpAddress, "an IPv4 address");
    fields.read("port", target.port, 0, 65535);
    fields.read("threads", target.threads, 1, 1024);
    fields.read("waitingConnections", target.waitingConnections, 0, 65536);
    fields.read("maxBodyBytes", target.maxBodyBytes, 1024, maximumBodyBytes);
}

/** Reads a list of strings. @param omitsValues keeps the values out of the reported problems */
void readStrings(const std::vector<JsonItem> &elements,
                 std::vector<std::string> &target,
                 const std::function<bool(const std::string &)> &isValid,
                 const std::string &rule,
                 bool omitsValues,
                 ValidationProblems &problems)
{
    for (const auto &element : elements) {
        if (element.value->is_string() && isValid(element.value->get_ref<const std::string &>())) {
            target.push_back(element.value->get<std::string>());
        } else {
            problems.push_back({ element.path, omitsValues ? std::string() : shownValue(*element.value), "must be " + rule });
        }
    }
}

void readOperators(JsonFields fields, Settings::Operators &target, ValidationProblems &problems)
{
    readListener(fields, target);
    // The values are omitted so that a token given instead of its digest does not appear in a log.
    readStrings(fields.elements("tokenDigests", maximumTokens, Presence::Required),
                target.tokenDigests,
                Digest::isWellFormed,
                "a SHA-256 digest of 64 lower-case hexadecimal digits; the value is not shown",
                true,
                problems);
    fields.finish();
}

void readSecretFile(JsonFields &fields, const std::string &folder, std::string &target)
{
    std::string fileName;
    fields.read(
        "secretFile", fileName, [](const std::string &text) { return !text.empty(); }, "the name of a file");
    if (fileName.empty()) {
        return;
    }
    auto text = readTextFile((std::filesystem::path(folder) / fileName).string(), maximumSecretLength + 2);
    if (!text) {
        fields.add("secretFile", "cannot be read");
        return;
    }
    while (!text->empty() && (text->back() == '\n' || text->back() == '\r')) {
        text->pop_back();
    }
    if (!isSecret(*text)) {
        fields.add("secretFile", "must hold " + describeSecretRule());
        return;
    }
    target = *text;
}

void readPeers(JsonFields fields, PeerSettings &target, const std::string &folder)
{
    fields.read("address", target.address, isIpAddress, "an IPv4 address");
    fields.read("port", target.port, 0, 65535);
    const auto hasFile = fields.has("secretFile");
    if (fields.has("secret") && hasFile) {
        fields.add("secret", "must not be given together with peers.secretFile", true);
    } else if (hasFile) {
        readSecretFile(fields, folder, target.secret);
    } else {
        fields.read("secret", target.secret, isSecret, describeSecretRule(), Presence::Required, true);
    }
    fields.finish();
}

void readPlatform(JsonFields fields, Settings::Platform &target, ValidationProblems &problems)
{
    readStrings(fields.elements("addresses", maximumAddresses, Presence::Required),
                target.addresses,
                isEndpoint,
                "ip:port with an IPv4 address and a port from 1 to 65535",
                false,
                problems);
    fields.read("writesPerSecond", target.writesPerSecond, 1, 100'000);
    fields.finish();
}

void readMembership(JsonFields fields, Settings::Membership &target)
{
    fields.read("heartbeatPeriodMs", target.heartbeatPeriod, Milliseconds(10), maximumPeriod);
    fields.read("summaryFloorMs", target.summaryFloor, Milliseconds(10), maximumPeriod);
    fields.read("suspicionMs", target.suspicion, Milliseconds(50), maximumPeriod);
    fields.finish();
}

void readOwnership(JsonFields fields, Settings::Ownership &target)
{
    fields.read("leaseMs", target.lease, Milliseconds(100), maximumPeriod);
    fields.read("renewalMs", target.renewal, Milliseconds(20), maximumPeriod);
    fields.read("shardsPerDomain", target.shardsPerDomain, 1, 256);
    fields.finish();
}

void readTasks(JsonFields fields, Settings::Tasks &target)
{
    fields.read("leaseMs", target.lease, Milliseconds(100), maximumPeriod);
    fields.read("renewalMs", target.renewal, Milliseconds(20), maximumPeriod);
    fields.finish();
}

void readPolicies(JsonFields &root, Settings &settings)
{
    auto placement = root.inner("placement");
    placement.readChoice("ownership",
                         settings.placement.ownership,
                         { { "sharded", PlacementOwnership::Sharded }, { "single", PlacementOwnership::Single } });
    placement.readChoice("route",
                         settings.placement.rule,
                         { { "local-first", OwnerSelectionPolicy::LocalFirst },
                           { "local-then-tightest", OwnerSelectionPolicy::LocalThenTightest },
                           { "tightest", OwnerSelectionPolicy::Tightest } });
    placement.readChoice("policy",
                         settings.placement.policy,
                         { { "best-fit", PlacementPolicy::BestFit },
                           { "first-fit", PlacementPolicy::FirstFit },
                           { "random", PlacementPolicy::Random } });
    placement.finish();
    auto queue = root.inner("queue");
    queue.readChoice(
        "order", settings.queue.order, { { "fair-deadline", QueueOrdering::FairDeadline }, { "fifo", QueueOrdering::Fifo } });
    queue.finish();
}

void readRemainingSections(JsonFields &root, Settings &settings)
{
    auto configuration = root.inner("configuration");
    // The upper limit of 2.5 s lets an instance that only polls put a new version in force within 3 s.
    configuration.read("pollMs", settings.configuration.poll, Milliseconds(10), Milliseconds(2500));
    configuration.finish();
    auto retry = root.inner("retry");
    retry.read("budgetPercent", settings.retry.budgetPercent, 0, 100);
    retry.finish();
    auto shutdown = root.inner("shutdown");
    shutdown.read("deadlineMs", settings.shutdown.deadline, Milliseconds(100), maximumPeriod);
    shutdown.finish();
    auto log = root.inner("log");
    log.readChoice("level",
                   settings.log.level,
                   { { "debug", Log::Level::Debug },
                     { "info", Log::Level::Info },
                     { "warning", Log::Level::Warning },
                     { "error", Log::Level::Error },
                     { "off", Log::Level::Off } });
    log.finish();
}

Settings readSettings(JsonFields &root, const std::string &folder, ValidationProblems &problems)
{
    Settings settings;
    readInstance(root.inner("instance", Presence::Required), settings.instance);
    auto callers = root.inner("callers");
    readListener(callers, settings.callers);
    callers.finish();
    readOperators(root.inner("operators", Presence::Required), settings.operators, problems);
    readPeers(root.inner("peers", Presence::Required), settings.peers, folder);
    readPlatform(root.inner("platform", Presence::Required), settings.platform, problems);
    readMembership(root.inner("membership"), settings.membership);
    readOwnership(root.inner("ownership"), settings.ownership);
    readPolicies(root, settings);
    readTasks(root.inner("tasks"), settings.tasks);
    readRemainingSections(root, settings);
    root.finish();
    return settings;
}

} // namespace

std::optional<Settings> SettingsLoader::load(const std::string &fileName, ValidationProblems &problems)
{
    const auto text = readTextFile(fileName, maximumFileBytes);
    if (!text) {
        problems = { { {}, {}, "cannot read " + fileName } };
        return std::nullopt;
    }
    return parse(*text, std::filesystem::path(fileName).parent_path().string(), problems);
}

std::optional<Settings> SettingsLoader::parse(const std::string &text, const std::string &folder, ValidationProblems &problems)
{
    problems.clear();
    if (text.size() > maximumFileBytes) {
        problems.push_back({ {}, {}, "is larger than " + std::to_string(maximumFileBytes) + " bytes" });
        return std::nullopt;
    }
    const auto value = parseJson(text, problems);
    if (!value) {
        return std::nullopt;
    }
    JsonFields root(*value, {}, problems);
    auto settings = readSettings(root, folder, problems);
    checkRelations(settings, problems);
    if (!problems.empty()) {
        return std::nullopt;
    }
    return settings;
}

} // namespace auburndoor
