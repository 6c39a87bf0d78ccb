#pragma once

#include "declaration/Declaration.h"

#include <string>
#include <vector>

namespace auburndoor {

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

/** One difference between two declarations: a whole service, team or job, or one field of it. */
struct DeclarationChange
{
    ChangeKind kind = ChangeKind::Changed;
    /** "services.namedesk" for a whole item, "services.namedesk.need.milliCores" for a field. */
    std::string path;
    /** The value as JSON, cut after 80 bytes; empty for a whole item and for token digests. */
    std::string before;
    std::string after;

    /** "added jobs.night", "changed services.namedesk.queueLimit: 1000 -> 500". */
    std::string text() const;

    bool operator==(const DeclarationChange &other) const = default;
};

using DeclarationChanges = std::vector<DeclarationChange>;

/** Finds what differs between two declarations. Stateless; any thread. */
class DeclarationDiff
{
public:
    /** All differences, in the order services, teams, jobs and then by name. Defaults that are written out make no difference. */
    static DeclarationChanges compare(const Declaration &from, const Declaration &to);
};

/** All changes, one a line. */
std::string toText(const DeclarationChanges &changes);

/** {"differences": [{"kind", "path", "before", "after", "text"}]}; before and after are left out where empty. */
std::string toJson(const DeclarationChanges &changes);

} // namespace auburndoor
