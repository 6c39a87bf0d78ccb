#include "declaration/DeclarationDiff.h"

#include "core/JsonFields.h"
#include "declaration/DeclarationWriter.h"

#include <nlohmann/json.hpp>
#include <set>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

const char *nameOf(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        break;
    }
    return "changed";
}

/** Both items have the same fields, because the writer writes all of them. */
void compareFields(const Json &from, const Json &to, const std::string &path, DeclarationChanges &changes)
{
    for (const auto &field : from.items()) {
        const auto &other = to.at(field.key());
        const auto fieldPath = path + "." + field.key();
        if (field.value().is_object()) {
            compareFields(field.value(), other, fieldPath, changes);
        } else if (field.value() != other) {
            const auto isSecret = field.key() == "tokenDigest";
            changes.push_back({ ChangeKind::Changed,
                                fieldPath,
                                isSecret ? std::string() : shownValue(field.value()),
                                isSecret ? std::string() : shownValue(other) });
        }
    }
}

void compareItems(const Json &from, const Json &to, const std::string &path, DeclarationChanges &changes)
{
    std::set<std::string> names;
    for (const auto *side : { &from, &to }) {
        for (const auto &item : side->items()) {
            names.insert(item.key());
        }
    }
    for (const auto &name : names) {
        const auto before = from.find(name);
        const auto after = to.find(name);
        auto itemPath = path;
        itemPath += "." + name;
        if (before == from.end()) {
            changes.push_back({ ChangeKind::Added, itemPath, {}, {} });
        } else if (after == to.end()) {
            changes.push_back({ ChangeKind::Removed, itemPath, {}, {} });
        } else {
            compareFields(*before, *after, itemPath, changes);
        }
    }
}

} // namespace

std::string DeclarationChange::text() const
{
    auto text = std::string(nameOf(kind)) + " " + path;
    if (!before.empty() || !after.empty()) {
        text += ": " + before + " -> " + after;
    }
    return text;
}

DeclarationChanges DeclarationDiff::compare(const Declaration &from, const Declaration &to)
{
    Json left;
    Json right;
    DeclarationWriter::fill(left, from);
    DeclarationWriter::fill(right, to);
    DeclarationChanges changes;
    for (const auto *section : { "services", "teams", "jobs" }) {
        compareItems(left[section], right[section], section, changes);
    }
    return changes;
}

std::string toText(const DeclarationChanges &changes)
{
    std::string text;
    for (const auto &change : changes) {
        text += change.text() + "\n";
    }
    return text;
}

std::string toJson(const DeclarationChanges &changes)
{
    auto list = Json::array();
    for (const auto &change : changes) {
        Json entry { { "kind", nameOf(change.kind) }, { "path", change.path } };
        if (!change.before.empty() || !change.after.empty()) {
            entry["before"] = change.before;
            entry["after"] = change.after;
        }
        entry["text"] = change.text();
        list.push_back(entry);
    }
    return Json { { "differences", list } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace auburndoor
