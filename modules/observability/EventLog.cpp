#include "observability/EventLog.h"

#include "observability/Metrics.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <fcntl.h>
#include <limits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace auburndoor {

namespace {

// At a peak of 600 starts per second, the owner writes two lines for each start.
constexpr int maxRoutineLinesPerSecond = 1500;
// The loss of a zone takes the runs of hundreds of workers at once, and a takeover finds all runs of the cell.
constexpr int maxBurstLinesPerSecond = 5000;
// Routine lines are dropped while more unwritten bytes than this are buffered.
constexpr std::size_t maxRoutineBytes = 1 << 20;
// Beyond that, room for lines that come in bursts: about 2,000 of them.
constexpr std::size_t burstReserveBytes = 1 << 19;
// Beyond both, room for rare lines only: about 1,000 of them.
constexpr std::size_t rareReserveBytes = 1 << 18;
constexpr std::size_t flushThresholdBytes = 1 << 14;
// One line tells of all lines that were dropped in this time.
constexpr std::chrono::seconds dropReportInterval { 1 };

/** How many lines of a kind may be written in a second, and up to which number of unwritten bytes. */
struct LineLimit
{
    std::string_view kind;
    int linesPerSecond;
    std::size_t unwrittenBytes;
};

constexpr LineLimit routineLimit { "routine", maxRoutineLinesPerSecond, maxRoutineBytes };
constexpr LineLimit burstLimit { "burst", maxBurstLinesPerSecond, maxRoutineBytes + burstReserveBytes };
constexpr LineLimit rareLimit { "rare", std::numeric_limits<int>::max(), maxRoutineBytes + burstReserveBytes + rareReserveBytes };

/** Lines that were dropped and that no line tells of so far. */
struct DroppedLines
{
    long long overLimit = 0;
    long long noRoom = 0;
    /** Those of both that were no routine lines. */
    long long notRoutine = 0;
};

/** The present second of one limit. */
struct LineWindow
{
    std::chrono::steady_clock::time_point startedAt;
    int lines = 0;
};

struct State
{
    /** The process name as a JSON string. */
    std::string process;
    /** The labels of the metrics of the present event; kept so that their memory is used again. */
    std::string label;
    std::string durationLabel;
    std::string buffer;
    /** The buffer is flushed once it is larger than this, so that a reader that takes nothing is not tried with each line. */
    std::size_t flushAtBytes = flushThresholdBytes;
    LineWindow routineWindow;
    LineWindow burstWindow;
    LineWindow rareWindow;
    DroppedLines unreported;
    std::chrono::steady_clock::time_point dropReportedAt;
    long long dropped = 0;
    int descriptor = STDOUT_FILENO;
    bool isEnabled = false;
    Metrics *metrics = nullptr;
};

State &state()
{
    static State instance;
    return instance;
}

bool isReason(std::string_view key)
{
    return key == "outcome" || key == "why" || key == "how" || key == "stage";
}

/** Counts an event by its name and reason, and adds its durations to the histogram. */
void countEvent(State &log, std::string_view event, std::span<const EventField> fields)
{
    auto &label = log.label;
    label.assign("event=").append(event);
    bool hasReason = false;
    for (const auto &field : fields) {
        if (const auto *number = std::get_if<std::int64_t>(&field.value)) {
            if (field.key.ends_with("_ms")) {
                log.durationLabel.assign("event=").append(event).append(",field=").append(field.key);
                log.metrics->observe("event_milliseconds", std::chrono::milliseconds(*number), log.durationLabel);
            }
        } else if (isReason(field.key) && !hasReason) {
            // A label may be given once only.
            hasReason = true;
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

/** Appends one line to the buffer. */
void appendLine(State &log, std::string_view event, std::span<const EventField> fields)
{
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
}

/** Writes a line that tells of the lines dropped so far, if there are any. */
void reportDroppedLines(State &log)
{
    const auto dropped = std::exchange(log.unreported, {});
    if (dropped.overLimit + dropped.noRoom == 0) {
        return;
    }
    const EventField fields[] = { { "lines", dropped.overLimit + dropped.noRoom },
                                  { "over_limit", dropped.overLimit },
                                  { "no_room", dropped.noRoom },
                                  { "not_routine", dropped.notRoutine } };
    if (log.metrics != nullptr) {
        countEvent(log, "log.dropped", fields);
    }
    appendLine(log, "log.dropped", fields);
    log.dropReportedAt = std::chrono::steady_clock::now();
}

/** Calls reportDroppedLines() if the buffer has room for routine lines again and the last report is not too recent. */
void reportDroppedLinesIfDue(State &log)
{
    const bool isDue = std::chrono::steady_clock::now() - log.dropReportedAt > dropReportInterval;
    if (isDue && log.buffer.size() <= maxRoutineBytes) {
        reportDroppedLines(log);
    }
}

/** Takes one line off the limit of the present second. @return false if the limit is reached */
bool takeFromLimit(LineWindow &window, const LineLimit &limit)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - window.startedAt > std::chrono::seconds(1)) {
        window = { now, 0 };
    }
    return ++window.lines <= limit.linesPerSecond;
}

void countDroppedLine(State &log, const LineLimit &limit, bool isOverLimit)
{
    ++log.dropped;
    ++(isOverLimit ? log.unreported.overLimit : log.unreported.noRoom);
    log.unreported.notRoutine += &limit == &routineLimit ? 0 : 1;
    if (log.metrics != nullptr) {
        const auto labels = "kind=" + std::string(limit.kind) + ",reason=" + (isOverLimit ? "limit" : "no room");
        log.metrics->count("log_lines_dropped_total", labels);
    }
}

/** Appends the line of an event within the limit of its kind, or counts it as dropped. */
void writeEvent(State &log, LineWindow &window, const LineLimit &limit, std::string_view event, std::span<const EventField> fields)
{
    if (log.metrics != nullptr) {
        countEvent(log, event, fields);
    }
    if (!log.isEnabled) {
        return;
    }
    const bool isOverLimit = !takeFromLimit(window, limit);
    if (isOverLimit || log.buffer.size() > limit.unwrittenBytes) {
        countDroppedLine(log, limit, isOverLimit);
        return;
    }
    appendLine(log, event, fields);
    if (log.buffer.size() > log.flushAtBytes) {
        EventLog::flush();
    }
}

/** Writes as much of the buffer as the reader takes without blocking. */
void writeBuffer(State &log)
{
    auto &buffer = log.buffer;
    std::size_t writtenBytes = 0;
    while (writtenBytes < buffer.size()) {
        const auto written = ::write(log.descriptor, buffer.data() + writtenBytes, buffer.size() - writtenBytes);
        if (written <= 0) {
            break;
        }
        writtenBytes += static_cast<std::size_t>(written);
    }
    buffer.erase(0, writtenBytes);
    log.flushAtBytes = buffer.size() + flushThresholdBytes;
}

} // namespace

void EventLog::configure(const std::string &processName, int descriptor)
{
    auto &log = state();
    log.process.clear();
    appendJsonString(log.process, processName);
    log.descriptor = descriptor;
    log.isEnabled = true;
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void EventLog::write(std::string_view event, std::initializer_list<EventField> fields)
{
    writeEvent(state(), state().rareWindow, rareLimit, event, { fields.begin(), fields.size() });
}

void EventLog::writeBurst(std::string_view event, std::initializer_list<EventField> fields)
{
    writeEvent(state(), state().burstWindow, burstLimit, event, { fields.begin(), fields.size() });
}

void EventLog::writeBurst(std::string_view event, std::span<const EventField> fields)
{
    writeEvent(state(), state().burstWindow, burstLimit, event, fields);
}

void EventLog::writeRateLimited(std::string_view event, std::initializer_list<EventField> fields)
{
    writeEvent(state(), state().routineWindow, routineLimit, event, { fields.begin(), fields.size() });
}

void EventLog::writeRateLimited(std::string_view event, std::span<const EventField> fields)
{
    writeEvent(state(), state().routineWindow, routineLimit, event, fields);
}

void EventLog::flush()
{
    auto &log = state();
    writeBuffer(log);
    reportDroppedLinesIfDue(log);
}

bool EventLog::close(std::chrono::milliseconds maxDuration)
{
    using Clock = std::chrono::steady_clock;
    auto &log = state();
    const auto deadline = Clock::now() + maxDuration;
    reportDroppedLines(log);
    writeBuffer(log);
    while (!log.buffer.empty() && Clock::now() < deadline) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
        pollfd reader { log.descriptor, POLLOUT, 0 };
        if (poll(&reader, 1, static_cast<int>(remaining.count())) > 0 && (reader.revents & POLLOUT) == 0) {
            // The reader is gone.
            break;
        }
        writeBuffer(log);
    }
    const bool isComplete = log.buffer.empty();
    log.buffer.clear();
    log.routineWindow = {};
    log.burstWindow = {};
    log.isEnabled = false;
    return isComplete;
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
