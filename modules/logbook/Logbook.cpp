#include "logbook/Logbook.h"

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
/** The clocks of instances may differ by up to this duration. */
constexpr Milliseconds maximumClockSkew { 5 * 60'000 };
constexpr int timestampDigits = 15;
/** Exponent of the shortest span that is read at once: 10^7 ms are 2.8 hours, or 245 rows at 2,100 changes per day. */
constexpr int minimumSpanExponent = 7;
/** Exponent of the longest span that is read at once: 10^13 ms are 317 years. */
constexpr int maximumSpanExponent = 13;

std::string formatTimestamp(long long milliseconds)
{
    std::array<char, 32> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%015lld", std::max(0LL, milliseconds));
    return buffer.data();
}

long long powerOfTen(int exponent)
{
    long long power = 1;
    for (int count = 0; count < exponent; ++count) {
        power *= 10;
    }
    return power;
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
        Log::warning("logbook-row-malformed", { { "key", row.key }, { "message", error.what() } });
        return std::nullopt;
    }
}

} // namespace

std::string LogbookEntry::rowKey() const
{
    return rowPrefix + formatTimestamp(toMilliseconds(time)) + "-" + id;
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
    std::vector<LogbookEntry> entries;
    auto exponent = minimumSpanExponent;
    auto newestMs = toMilliseconds(clock_.wallNow() + maximumClockSkew);
    while (newestMs >= 0 && entries.size() < limit) {
        const auto prefix = formatTimestamp(newestMs).substr(0, static_cast<std::size_t>(timestampDigits - exponent));
        const auto rows = table_.readPrefix(rowPrefix + prefix, deadline, failure);
        if (!rows) {
            return std::nullopt;
        }
        for (auto row = rows->rbegin(); row != rows->rend() && entries.size() < limit; ++row) {
            if (auto entry = parseEntry(*row)) {
                entries.push_back(*entry);
            }
        }
        newestMs -= newestMs % powerOfTen(exponent) + 1;
        // Continues with a span ten times as long only if it is expected to hold no more rows than requested.
        const auto isSparse = rows->size() * 10 <= limit;
        if (isSparse && exponent < maximumSpanExponent && (newestMs + 1) % powerOfTen(exponent + 1) == 0) {
            ++exponent;
        }
    }
    return entries;
}

} // namespace auburndoor
