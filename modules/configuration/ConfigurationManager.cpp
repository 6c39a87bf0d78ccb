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

constexpr std::size_t summaryLines = 20;

std::vector<std::string> summaryOf(const DeclarationChanges &changes, bool areKnown)
{
    if (!areKnown) {
        return { "differences not known: the text of the previous version could not be read" };
    }
    std::vector<std::string> lines;
    for (std::size_t index = 0; index < std::min(changes.size(), summaryLines); ++index) {
        lines.push_back(changes[index].text());
    }
    if (changes.size() > summaryLines) {
        lines.push_back("and " + std::to_string(changes.size() - summaryLines) + " more");
    }
    return lines;
}

/**
    The time of the next head: after that of the present one, so that the logbook's order is that of the versions even when two
    follow within a millisecond or the clocks of two instances differ. A head from a clock that is far ahead is not followed.
*/
WallTime timeAfter(const ConfigurationHead &head, WallTime now)
{
    constexpr Milliseconds largestSkew { 5 * 60'000 };
    return head.time > now + largestSkew ? now : std::max(now, head.time + Milliseconds(1));
}

} // namespace

/** One apply on its way; the file is valid. */
struct ConfigurationManager::Attempt
{
    const std::string &text;
    Declaration declaration;
    std::string digest;
    std::optional<long long> expectedVersion;
    std::string operatorName;
    TimePoint deadline;
    /** From the head that was read last to the file. */
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
        Attempt attempt { text, std::move(*declaration), Digest::of(text), expectedVersion, operatorName, deadline, {}, false };
        applyValid(attempt, result, failure);
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

void ConfigurationManager::applyValid(Attempt &attempt, ApplyResult &result, Failure &failure)
{
    result.status = ApplyStatus::Refused;
    if (!store_.storeBody(attempt.digest, attempt.text, attempt.deadline, failure)) {
        return;
    }
    Backoff backoff(clock_);
    while (!tryOnce(attempt, result, failure) && backoff.wait(attempt.deadline)) {
    }
}

/** @return true if the outcome is decided; false if nothing was written and another try makes sense */
bool ConfigurationManager::tryOnce(Attempt &attempt, ApplyResult &result, Failure &failure)
{
    const auto head = store_.waitForHead(attempt.deadline, failure);
    if (!head) {
        return true;
    }
    // A try that was not written must not lead to an overwriting of the version that somebody else has written since.
    attempt.expectedVersion = attempt.expectedVersion.value_or(head->version);
    takeHead(*head, attempt.deadline);
    if (head->version != *attempt.expectedVersion) {
        fillConflict(attempt, *head, result);
        return true;
    }
    compare(attempt, *head);
    const auto time = timeAfter(*head, clock_.wallNow());
    const ConfigurationHead next { head->version + 1, attempt.digest, attempt.operatorName, time, makeRandomId(), 0 };
    const LogbookEntry entry { next.time,
                               next.transaction,
                               "apply",
                               next.operatorName,
                               next.version,
                               next.digest,
                               summaryOf(attempt.differences, attempt.hasDifferences) };
    result.transaction = next.transaction;
    const auto commit = store_.commitHead(*head, next, entry, attempt.deadline, failure);
    switch (commit.status) {
    case HeadCommitStatus::Committed:
        accept(attempt, next, result);
        return true;
    case HeadCommitStatus::Conflict:
        fillConflict(attempt, commit.present, result);
        return true;
    case HeadCommitStatus::Unknown:
        result.status = ApplyStatus::Unknown;
        return true;
    case HeadCommitStatus::NotWritten:
        break;
    }
    return false;
}

/** Finds what the file changes in the head's version, if that is in force here. */
void ConfigurationManager::compare(Attempt &attempt, const ConfigurationHead &head) const
{
    const auto base = current();
    attempt.hasDifferences = base->version == head.version;
    attempt.differences = attempt.hasDifferences ? DeclarationDiff::compare(base->declaration, attempt.declaration)
                                                 : DeclarationChanges {};
}

void ConfigurationManager::fillConflict(const Attempt &attempt, const ConfigurationHead &present, ApplyResult &result)
{
    takeHead(present, attempt.deadline);
    result.status = ApplyStatus::Conflict;
    result.version = present.version;
    result.digest = present.digest;
    result.operatorName = present.operatorName;
    result.time = present.time;
    const auto winner = current();
    result.hasDifferences = winner->version == present.version;
    if (result.hasDifferences) {
        result.differences = DeclarationDiff::compare(winner->declaration, attempt.declaration);
    }
}

void ConfigurationManager::accept(const Attempt &attempt, const ConfigurationHead &head, ApplyResult &result)
{
    holder_.take(head.version, head.digest, attempt.text, "apply");
    isReady_ = true;
    result.status = ApplyStatus::Accepted;
    result.version = head.version;
    result.digest = head.digest;
    result.operatorName = head.operatorName;
    result.time = head.time;
    result.differences = attempt.differences;
    result.hasDifferences = attempt.hasDifferences;
    confirm(head, attempt.text, result);
}

void ConfigurationManager::confirm(const ConfigurationHead &head, const std::string &text, ApplyResult &result)
{
    result.confirmed.push_back(options_.self);
    const auto answers = announcer_.announce({ head.version, head.digest, text }, clock_.now() + options_.confirmation);
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
    const auto present = current();
    return { present->version, present->digest, present->text };
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
