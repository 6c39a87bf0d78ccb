#include "fakes/FakeTask.h"

#include "core/TextEncoding.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

void FakeTask::readBody(bool failEverything)
{
    const auto json = nlohmann::json::parse(start.body, nullptr, false);
    Milliseconds runTime { 0 };
    echo = start.body;
    if (json.is_object()) {
        try {
            echo = json.value("echo", std::string());
            runTime = Milliseconds(json.value("runMs", 0LL));
            isFailing = json.value("fail", false);
        } catch (const nlohmann::json::type_error &) {
            echo = start.body;
        }
    }
    if (failEverything) {
        isFailing = true;
        runTime = Milliseconds(0);
    }
    endsAt = runTime.count() < 0 ? WallTime::max() : startedAt + runTime;
}

std::string FakeTask::checkpoint(WallTime now) const
{
    const auto rest = endsAt == WallTime::max() ? Milliseconds(-1) : std::chrono::duration_cast<Milliseconds>(endsAt - now);
    return nlohmann::json { { "runMs", rest.count() }, { "echo", echo }, { "fail", isFailing } }.dump();
}

std::string FakeTask::ownAnswer() const
{
    const std::string key = isFailing ? "error" : "echo";
    if (!isUtf8(echo)) {
        return nlohmann::json { { key + "Base64", toBase64(echo) }, { "task", start.id.text() } }.dump();
    }
    return nlohmann::json { { key, echo }, { "task", start.id.text() } }.dump();
}

} // namespace auburndoor
