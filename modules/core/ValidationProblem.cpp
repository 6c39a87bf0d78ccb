#include "core/ValidationProblem.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

std::string ValidationProblem::text() const
{
    std::string text = path.empty() ? "file" : path;
    if (!value.empty()) {
        text += " = " + value;
    }
    return text + ": " + message;
}

std::string toText(const ValidationProblems &problems)
{
    std::string text;
    for (const auto &problem : problems) {
        text += problem.text() + "\n";
    }
    return text;
}

std::string toJson(const ValidationProblems &problems)
{
    auto list = nlohmann::ordered_json::array();
    for (const auto &problem : problems) {
        list.push_back({ { "path", problem.path }, { "value", problem.value }, { "message", problem.message } });
    }
    return nlohmann::ordered_json { { "problems", list } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace auburndoor
