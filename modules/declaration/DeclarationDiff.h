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
    /** The old value as JSON, truncated after 80 bytes; empty for a whole item and for token digests. */
    std::string before;
    /** The new value, in the same form as before. */
    std::string after;

    /** The change as one line, such as "added jobs.night" or "changed services.namedesk.queueLimit: 1000 -> 500". */
    std::string text() const;

    bool operator==(const DeclarationChange &other) const = default;
};

using DeclarationChanges = std::vector<DeclarationChange>;

/** Compares two declarations. Stateless; any thread. */
class DeclarationDiff
{
public:
    /** Returns all differences: services, then teams, then jobs, each sorted by name. An absent field equals its default. */
    static DeclarationChanges compare(const Declaration &from, const Declaration &to);
};

/** Returns the changes as text, one per line. */
std::string toText(const DeclarationChanges &changes);

/** Returns {"differences": [{"kind", "path", "before", "after", "text"}]}; before and after are left out if both are empty. */
std::string toJson(const DeclarationChanges &changes);

} // namespace auburndoor
