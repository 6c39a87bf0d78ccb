#include "configuration/ConfigurationManager.h"

#include "configuration/Backoff.h"
#include "configuration/ConfigurationAnnouncer.h"
#include "core/Failure.h"
#include "core/JsonFields.h"
#include "core/RandomId.h"
#include "declaration/DeclarationParser.h"
#include "declaration/Digest.h"
#include "observability/Log.h"
#include "observability/Metrics.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr std::size_t maxSummaryLines = 20;

std::vector<std::string> summarize(const DeclarationChanges &changes, bool areDifferencesKnown)
{
    if (!areDifferencesKnown) {
        return { "differences not known: the text of the previous version could not be read" };
    }
    std::vector<std::string> lines;
    for (std::size_t index = 0; index < std::min(changes.size(), maxSummaryLines); ++index) {
        lines.push_back(changes[index].text());
    }
    if (changes.size() > maxSummaryLines) {
        lines.push_back("and " + std::to_string(changes.size() - maxSummaryLines) + " more");
    }
    return lines;
}

/**
    Returns the time of the next head: later than that of the current head, so that logbook entries are in the order
    of versions even if two are less than a millisecond apart or the clocks of two instances differ.

    If the current head is more than 5 minutes ahead of this instance's clock, returns this clock's time.
*/
WallTime computeNextHeadTime(const ConfigurationHead &head, WallTime now)
{
    constexpr Milliseconds maxClockSkew { 5 * 60'000 };
    return head.time > now + maxClockSkew ? now : std::max(now, head.time + Milliseconds(1));
}

} // namespace

/** An apply in progress; its file is valid. */
struct ConfigurationManager::PendingApply
{
    const std::string &text;
    Declaration declaration;
    std::string digest;
    std::optional<long long> expectedVersion;
    std::string operatorName;
    TimePoint deadline;
    /** From the version of the last head read to the file; known only if hasDifferences. */
    DeclarationChanges differences;
    bool hasDifferences = false;
};

ConfigurationManager::ConfigurationManager(TableService &table,
                                           ObjectStore &objects,
                                           Clock &clock,
                                           Metrics &metrics,
                                           ConfigurationAnnouncer &announcer,
                                           const ConfigurationOptions &options)
    : clock_(clock)
    , metrics_(metrics)
    , announcer_(announcer)
    , options_(options)
    , store_(table, objects, clock)
    , logbook_(table, clock)
    , holder_(metrics)
{
}

ConfigurationManager::~ConfigurationManager()
{
    stop();
}

ApplyResult ConfigurationManager::apply(const std::string &text,
                                        std::optional<long long> expectedVersion,
                                        const std::string &operatorName,
                                        TimePoint deadline,
                                        Failure &failure)
{
    const auto start = clock_.now();
    ApplyResult result;
    auto declaration = DeclarationParser::parse(text, result.problems);
    if (!isIdentifier(operatorName)) {
        result.problems.push_back({ "operator", {}, std::string("must be ") + identifierRule });
    }
    if (result.problems.empty()) {
        PendingApply pending {
            text, std::move(*declaration), Digest::of(text), expectedVersion, operatorName, deadline, {}, false
        };
        storeAndCommit(pending, result, failure);
    } else {
        result.status = ApplyStatus::Invalid;
    }
    metrics_.count("configuration_applies_total", name(result.status));
    metrics_.observe("configuration_apply", clock_.now() - start);
    Log::info("configuration-applied",
              { { "status", name(result.status) },
                { "version", std::to_string(result.version) },
                { "operator", result.operatorName },
                { "transaction", result.transaction } });
    return result;
}

void ConfigurationManager::storeAndCommit(PendingApply &pending, ApplyResult &result, Failure &failure)
{
    result.status = ApplyStatus::Refused;
    if (!store_.storeBody(pending.digest, pending.text, pending.deadline, failure)) {
        return;
    }
    Backoff backoff(clock_);
    while (!tryCommit(pending, result, failure) && backoff.wait(pending.deadline)) {
    }
}

/** Reads the head and commits the next one. @return true if the outcome is decided; false if no head was written: retry */
bool ConfigurationManager::tryCommit(PendingApply &pending, ApplyResult &result, Failure &failure)
{
    const auto head = store_.readHeadWithRetry(pending.deadline, failure);
    if (!head) {
        return true;
    }
    // Later attempts expect the version of the first read, so that a retry cannot overwrite a version written in between.
    pending.expectedVersion = pending.expectedVersion.value_or(head->version);
    installHead(*head, pending.deadline);
    if (head->version != *pending.expectedVersion) {
        setConflict(pending, *head, result);
        return true;
    }
    compareWithHead(pending, *head);
    const auto time = computeNextHeadTime(*head, clock_.wallNow());
    const ConfigurationHead next { head->version + 1, pending.digest, pending.operatorName, time, makeRandomId(), 0 };
    const LogbookEntry entry { next.time,
                               next.transaction,
                               "apply",
                               next.operatorName,
                               next.version,
                               next.digest,
                               summarize(pending.differences, pending.hasDifferences) };
    result.transaction = next.transaction;
    const auto commit = store_.commitHead(*head, next, entry, pending.deadline, failure);
    switch (commit.status) {
    case HeadCommitStatus::Committed:
        completeAccepted(pending, next, result);
        return true;
    case HeadCommitStatus::Conflict:
        setConflict(pending, commit.currentHead, result);
        return true;
    case HeadCommitStatus::Unknown:
        result.status = ApplyStatus::Unknown;
        return true;
    case HeadCommitStatus::NotWritten:
        break;
    }
    return false;
}

/** Computes the differences from the head's version to the file, if that version is in force at this instance. */
void ConfigurationManager::compareWithHead(PendingApply &pending, const ConfigurationHead &head) const
{
    const auto base = current();
    pending.hasDifferences = base->version == head.version;
    pending.differences = pending.hasDifferences ? DeclarationDiff::compare(base->declaration, pending.declaration)
                                                 : DeclarationChanges {};
}

void ConfigurationManager::setConflict(const PendingApply &pending, const ConfigurationHead &currentHead, ApplyResult &result)
{
    installHead(currentHead, pending.deadline);
    result.status = ApplyStatus::Conflict;
    result.version = currentHead.version;
    result.digest = currentHead.digest;
    result.operatorName = currentHead.operatorName;
    result.time = currentHead.time;
    const auto inForce = current();
    result.hasDifferences = inForce->version == currentHead.version;
    if (result.hasDifferences) {
        result.differences = DeclarationDiff::compare(inForce->declaration, pending.declaration);
    }
}

void ConfigurationManager::completeAccepted(const PendingApply &pending, const ConfigurationHead &head, ApplyResult &result)
{
    holder_.install(head.version, head.digest, pending.text, "apply");
    isReady_ = true;
    result.status = ApplyStatus::Accepted;
    result.version = head.version;
    result.digest = head.digest;
    result.operatorName = head.operatorName;
    result.time = head.time;
    result.differences = pending.differences;
    result.hasDifferences = pending.hasDifferences;
    awaitConfirmations(head, pending.text, result);
}

void ConfigurationManager::awaitConfirmations(const ConfigurationHead &head, const std::string &text, ApplyResult &result)
{
    result.confirmed.push_back(options_.self);
    const auto answers = announcer_.announce({ head.version, head.digest, text }, clock_.now() + options_.confirmationTimeout);
    for (const auto &answer : answers) {
        (answer.version >= head.version ? result.confirmed : result.unconfirmed).push_back(answer.instance);
    }
    if (!result.unconfirmed.empty()) {
        metrics_.count("configuration_unconfirmed_total", {}, static_cast<long long>(result.unconfirmed.size()));
    }
}

PlanResult ConfigurationManager::plan(const std::string &text) const
{
    PlanResult result;
    const auto base = current();
    result.version = base->version;
    if (const auto declaration = DeclarationParser::parse(text, result.problems)) {
        result.differences = DeclarationDiff::compare(base->declaration, *declaration);
    }
    return result;
}

std::shared_ptr<const VersionedDeclaration> ConfigurationManager::current() const
{
    return holder_.current();
}

ConfigurationAnnouncement ConfigurationManager::announcement() const
{
    const auto inForce = current();
    return { inForce->version, inForce->digest, inForce->text };
}

void ConfigurationManager::addListener(ConfigurationHolder::Listener listener)
{
    holder_.addListener(std::move(listener));
}

std::optional<std::vector<LogbookEntry>> ConfigurationManager::logbook(std::size_t limit, TimePoint deadline, Failure &failure)
{
    return logbook_.latest(limit, deadline, failure);
}

bool ConfigurationManager::isReady() const
{
    return isReady_;
}

} // namespace auburndoor
