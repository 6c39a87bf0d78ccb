#include "configuration/Logbook.h"

#include "core/Failure.h"
#include "core/WallTimeText.h"
#include "observability/Log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace auburndoor {

using Json = nlohmann::ordered_json;

namespace {

const std::string rowPrefix = "logbook/";
/** Clocks of instances may differ by as much. */
constexpr Milliseconds clockSkew { 5 * 60'000 };
constexpr Milliseconds firstSpan { 60 * 60'000 };
constexpr int spanGrowth = 8;

std::string digitsOf(long long milliseconds)
{
    std::array<char, 32> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%015lld", std::max(0LL, milliseconds));
    return buffer.data();
}

/** The longest prefix that the keys of all moments between the two have in common. */
std::string commonPrefix(long long from, long long to)
{
    const auto left = digitsOf(from);
    const auto right = digitsOf(to);
    const auto end = std::mismatch(left.begin(), left.end(), right.begin()).first;
    return { left.begin(), end };
}

Json toValue(const LogbookEntry &entry)
{
    return { { "time", toText(entry.time) },     { "id", entry.id },           { "action", entry.action },
             { "operator", entry.operatorName }, { "version", entry.version }, { "digest", entry.digest },
             { "summary", entry.summary } };
}

std::optional<LogbookEntry> parseEntry(const TableRow &row)
{
    try {
        const auto value = Json::parse(row.value);
        LogbookEntry entry;
        entry.time = wallTimeOf(value.at("timeMs").get<long long>());
        entry.id = value.at("id").get<std::string>();
        entry.action = value.at("action").get<std::string>();
        entry.operatorName = value.at("operator").get<std::string>();
        entry.version = value.at("version").get<long long>();
        entry.digest = value.at("digest").get<std::string>();
        entry.summary = value.at("summary").get<std::vector<std::string>>();
        return entry;
    } catch (const Json::exception &error) {
        Log::warning("logbook.malformed-row", { { "key", row.key }, { "message", error.what() } });
        return std::nullopt;
    }
}

} // namespace

std::string LogbookEntry::rowKey() const
{
    return rowPrefix + digitsOf(toMilliseconds(time)) + "-" + id;
}

std::string LogbookEntry::rowValue() const
{
    auto value = toValue(*this);
    value["timeMs"] = toMilliseconds(time);
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string toJson(const std::vector<LogbookEntry> &entries)
{
    auto list = Json::array();
    for (const auto &entry : entries) {
        list.push_back(toValue(entry));
    }
    return Json { { "entries", list } }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Logbook::Logbook(TableService &table, Clock &clock) : table_(table), clock_(clock)
{
}

std::optional<std::vector<LogbookEntry>> Logbook::latest(std::size_t limit, TimePoint deadline, Failure &failure)
{
    const auto now = toMilliseconds(clock_.wallNow());
    std::vector<LogbookEntry> entries;
    std::string lastPrefix = "unread";
    for (auto span = firstSpan;; span *= spanGrowth) {
        const auto prefix = commonPrefix(now - span.count(), now + clockSkew.count());
        if (prefix != lastPrefix) {
            const auto rows = table_.readPrefix(rowPrefix + prefix, deadline, failure);
            if (!rows) {
                return std::nullopt;
            }
            entries.clear();
            for (auto row = rows->rbegin(); row != rows->rend() && entries.size() < limit; ++row) {
                if (auto entry = parseEntry(*row)) {
                    entries.push_back(*entry);
                }
            }
        }
        lastPrefix = prefix;
        if (entries.size() >= limit || prefix.empty() || span.count() > now) {
            return entries;
        }
    }
}

} // namespace auburndoor
