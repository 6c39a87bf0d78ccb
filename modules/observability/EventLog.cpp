#include "observability/EventLog.h"

#include "observability/Metrics.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace auburndoor {

namespace {

// At a peak of 600 starts per second, the owner writes two lines for each start.
constexpr int maxRateLimitedLinesPerSecond = 1500;
// Further lines are dropped while the buffer holds more unwritten bytes than this.
constexpr std::size_t maxBufferedBytes = 1 << 20;
constexpr std::size_t flushThresholdBytes = 1 << 14;

struct State
{
    /** The process name as a JSON string. */
    std::string process;
    /** The labels of the metrics of the present event; kept so that their memory is used again. */
    std::string label;
    std::string durationLabel;
    std::string buffer;
    std::chrono::steady_clock::time_point secondStart;
    int linesInSecond = 0;
    long long dropped = 0;
    long long droppedInSecond = 0;
    bool isEnabled = false;
    Metrics *metrics = nullptr;
};

State &state()
{
    static State instance;
    return instance;
}

/** Counts an event by its name and reason, and adds its durations to the histogram. */
void countEvent(State &log, std::string_view event, std::initializer_list<EventField> fields)
{
    auto &label = log.label;
    label.assign("event=").append(event);
    for (const auto &field : fields) {
        if (const auto *number = std::get_if<std::int64_t>(&field.value)) {
            if (field.key.ends_with("_ms")) {
                log.durationLabel.assign("event=").append(event).append(",field=").append(field.key);
                log.metrics->observe("event_milliseconds", std::chrono::milliseconds(*number), log.durationLabel);
            }
        } else if (field.key == "outcome" || field.key == "why" || field.key == "how" || field.key == "stage") {
            label.append(",reason=").append(std::get<std::string_view>(field.value));
        }
    }
    log.metrics->count("events_total", label);
}

bool isPlain(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code >= 0x20 && code < 0x7f && character != '"' && character != '\\';
}

/** Appends a quoted JSON string; each byte outside printable ASCII is written as an escape of its own. */
void appendJsonString(std::string &line, std::string_view text)
{
    constexpr const char *hexDigits = "0123456789abcdef";
    line += '"';
    while (!text.empty()) {
        const auto plainLength = static_cast<std::size_t>(std::find_if_not(text.begin(), text.end(), isPlain) - text.begin());
        line.append(text.substr(0, plainLength));
        text.remove_prefix(plainLength);
        if (text.empty()) {
            break;
        }
        const char character = text.front();
        text.remove_prefix(1);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else {
            const auto code = static_cast<unsigned char>(character);
            line += "\\u00";
            line += hexDigits[code >> 4U];
            line += hexDigits[code & 15U];
        }
    }
    line += '"';
}

void appendNumber(std::string &line, std::int64_t number)
{
    char digits[20];
    line.append(digits, std::to_chars(std::begin(digits), std::end(digits), number).ptr);
}

/** Appends one line to the buffer, or counts it as dropped if the buffer is full. */
void appendEvent(State &log, std::string_view event, std::initializer_list<EventField> fields)
{
    if (log.buffer.size() > maxBufferedBytes) {
        ++log.dropped;
        return;
    }
    using namespace std::chrono;
    auto &line = log.buffer;
    line += "{\"t\":";
    appendNumber(line, duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count());
    line += ",\"wall\":";
    appendNumber(line, duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
    line += ",\"process\":";
    line += log.process;
    line += ",\"event\":";
    appendJsonString(line, event);
    for (const auto &field : fields) {
        line += ',';
        appendJsonString(line, field.key);
        line += ':';
        if (const auto *number = std::get_if<std::int64_t>(&field.value)) {
            appendNumber(line, *number);
        } else {
            appendJsonString(line, std::get<std::string_view>(field.value));
        }
    }
    line += "}\n";
    if (line.size() > flushThresholdBytes) {
        EventLog::flush();
    }
}

} // namespace

void EventLog::configure(const std::string &processName)
{
    state().process.clear();
    appendJsonString(state().process, processName);
    state().isEnabled = true;
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void EventLog::write(std::string_view event, std::initializer_list<EventField> fields)
{
    if (state().metrics != nullptr) {
        countEvent(state(), event, fields);
    }
    if (state().isEnabled) {
        appendEvent(state(), event, fields);
    }
}

void EventLog::writeRateLimited(std::string_view event, std::initializer_list<EventField> fields)
{
    auto &log = state();
    if (log.metrics != nullptr) {
        countEvent(log, event, fields);
    }
    if (!log.isEnabled) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - log.secondStart > std::chrono::seconds(1)) {
        if (log.droppedInSecond > 0) {
            appendEvent(log, "log.dropped", { { "lines", log.droppedInSecond } });
        }
        log.secondStart = now;
        log.linesInSecond = 0;
        log.droppedInSecond = 0;
    }
    if (++log.linesInSecond > maxRateLimitedLinesPerSecond) {
        ++log.dropped;
        ++log.droppedInSecond;
        return;
    }
    appendEvent(log, event, fields);
}

void EventLog::flush()
{
    auto &buffer = state().buffer;
    while (!buffer.empty()) {
        const auto written = ::write(STDOUT_FILENO, buffer.data(), buffer.size());
        if (written <= 0) {
            return;
        }
        buffer.erase(0, static_cast<std::size_t>(written));
    }
}

void EventLog::setMetrics(Metrics *metrics)
{
    state().metrics = metrics;
}

long long EventLog::droppedCount()
{
    return state().dropped;
}

} // namespace auburndoor
