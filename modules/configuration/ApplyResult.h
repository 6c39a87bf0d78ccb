#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/ValidationProblem.h"
#include "declaration/DeclarationDiff.h"

#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

enum class ApplyStatus {
    /** The file is the version in force. */
    Accepted,
    /** The file has problems; nothing was written. */
    Invalid,
    /** Another version than the expected one is in force; nothing was written. */
    Conflict,
    /** Nothing was written and nothing will be. */
    Refused,
    /** The file may have become, or may yet become, the version in force. */
    Unknown,
};

/** What became of an apply. */
struct ApplyResult
{
    ApplyStatus status = ApplyStatus::Refused;
    /** Accepted: the new version. Conflict: the version in force. */
    long long version = 0;
    /** Of that version. */
    std::string digest;
    std::string operatorName;
    WallTime time;
    /** Accepted: from the previous version to this one. Conflict: from the version in force to the refused file. */
    DeclarationChanges differences;
    /** False if the other version's text could not be obtained, so that the differences are not known. */
    bool hasDifferences = false;
    /** Accepted: this instance and the peers that had the version in force in time. */
    std::vector<InstanceId> confirmed;
    /** Accepted: the live peers that had not. */
    std::vector<InstanceId> unconfirmed;
    /** Invalid: what is wrong with the file. */
    ValidationProblems problems;
    /** The id of the logbook entry, if a write was tried. */
    std::string transaction;
};

/** What a file would change. */
struct PlanResult
{
    /** What is wrong with the file; empty if it is valid. */
    ValidationProblems problems;
    /** The version in force that the differences start from; give it to apply as the expected one. */
    long long version = 0;
    DeclarationChanges differences;
};

/** "accepted", "invalid", "conflict", "refused" or "unknown". */
std::string name(ApplyStatus status);

/** The status code of the operators' interface: 200, 422, 409, 503 and 504 in the order of the enumerators. */
int httpStatus(ApplyStatus status);

/** The reply to an apply as docs/protocols/operators.md gives it. @param failure for Refused and Unknown */
std::string toJson(const ApplyResult &result, const Failure &failure);

/** The status code of the reply to a plan: 200, or 422 for an invalid file. */
int httpStatus(const PlanResult &result);

/** The reply to a plan as docs/protocols/operators.md gives it. */
std::string toJson(const PlanResult &result);

/** {"error": {"step", "peer", "reason", "message"}}, the body of every reply that tells of a failure. */
std::string toJson(const Failure &failure);

} // namespace auburndoor
