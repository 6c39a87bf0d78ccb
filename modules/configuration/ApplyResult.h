#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/ValidationProblem.h"
#include "declaration/DeclarationDiff.h"

#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

/** The outcome of ConfigurationManager::apply(). */
enum class ApplyStatus {
    /** The file became the version in force. */
    Accepted,
    /** The file or the operator's name is not valid; nothing was written. */
    Invalid,
    /** A version other than the expected one is in force; the file did not become a version. */
    Conflict,
    /** The file did not become a version and will not; the Failure says why. */
    Refused,
    /** The outcome of the commit could not be read: the file may have become the version in force, or may still do so. */
    Unknown,
};

/** The outcome of an apply and the fields of its reply. */
struct ApplyResult
{
    ApplyStatus status = ApplyStatus::Refused;
    /** Accepted: the new version. Conflict: the version in force. */
    long long version = 0;
    /** Digest, operator and time of that version. */
    std::string digest;
    std::string operatorName;
    WallTime time;
    /** Accepted: from the previous version to the new one. Conflict: from the version in force to the rejected file. */
    DeclarationChanges differences;
    /** False if the text of the version to compare with could not be read, so that the differences are not known. */
    bool hasDifferences = false;
    /** Accepted: this instance and the peers that confirmed the version before the confirmation timeout. */
    std::vector<InstanceId> confirmed;
    /** Accepted: the live peers that did not confirm it. */
    std::vector<InstanceId> unconfirmed;
    /** Invalid: what is wrong with the file. */
    ValidationProblems problems;
    /** The id of the transaction and of its logbook entry; empty if no commit was attempted. */
    std::string transaction;
};

/** The changes that a file would make if it were applied, or the problems of the file. */
struct PlanResult
{
    /** What is wrong with the file; empty if it is valid. */
    ValidationProblems problems;
    /** The version in force that the file was compared with; the expected version for a later apply. */
    long long version = 0;
    DeclarationChanges differences;
};

/** "accepted", "invalid", "conflict", "refused" or "unknown". */
std::string name(ApplyStatus status);

/** The HTTP status of the reply to an apply: 200, 422, 409, 503 and 504 in the order of the enumerators. */
int httpStatus(ApplyStatus status);

/** The JSON reply to an apply, as specified in docs/protocols/operators.md. @param failure written for Refused and Unknown only */
std::string toJson(const ApplyResult &result, const Failure &failure);

/** The HTTP status of the reply to a plan: 200, or 422 for an invalid file. */
int httpStatus(const PlanResult &result);

/** The JSON reply to a plan, as specified in docs/protocols/operators.md. */
std::string toJson(const PlanResult &result);

/** {"error": {"step", "peer", "reason", "message"}}, the body of a reply that reports only a failure. */
std::string toJson(const Failure &failure);

} // namespace auburndoor
