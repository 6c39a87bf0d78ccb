#include "core/JsonFields.h"

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

/** Deeper nesting than any of our files needs, and shallow enough for recursive users of the value. */
constexpr int deepestNesting = 32;

struct NestingError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** Watches the parser's events for names that are given twice in one object, and for the depth. */
class NameWatcher
{
public:
    explicit NameWatcher(ValidationProblems &problems) : problems_(problems)
    {
    }

    bool operator()(int depth, Json::parse_event_t event, Json &parsed)
    {
        if (depth > deepestNesting) {
            throw NestingError("is nested deeper than " + std::to_string(deepestNesting) + " levels");
        }
        switch (event) {
        case Json::parse_event_t::object_start:
            open_.emplace_back();
            break;
        case Json::parse_event_t::object_end:
            open_.pop_back();
            break;
        case Json::parse_event_t::key:
            addName(parsed.get_ref<const std::string &>());
            break;
        default:
            break;
        }
        return true;
    }

private:
    struct OpenObject
    {
        std::set<std::string> names;
        std::string lastName;
    };

    void addName(const std::string &name)
    {
        open_.back().lastName = name;
        if (open_.back().names.insert(name).second) {
            return;
        }
        std::string path;
        for (const auto &object : open_) {
            path += (path.empty() ? "" : ".") + object.lastName;
        }
        problems_.push_back({ path, {}, "is given twice" });
    }

    ValidationProblems &problems_;
    std::vector<OpenObject> open_;
};

/** The line and column of a byte, counted from 1. */
std::string placeOf(const std::string &text, std::size_t byte)
{
    std::size_t line = 1;
    std::size_t column = 1;
    for (std::size_t index = 0; index + 1 < byte && index < text.size(); ++index) {
        ++column;
        if (text[index] == '\n') {
            ++line;
            column = 1;
        }
    }
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

} // namespace

std::shared_ptr<const Json> parseJson(const std::string &text, ValidationProblems &problems)
{
    try {
        NameWatcher watcher(problems);
        return std::make_shared<const Json>(Json::parse(text, std::ref(watcher), true, true));
    } catch (const Json::parse_error &error) {
        // The library's message ends with the token it stopped at, which may be part of a secret.
        problems.push_back({ {}, {}, "is not valid JSON at " + placeOf(text, error.byte) });
    } catch (const Json::exception &) {
        // A number that no double can hold.
        problems.push_back({ {}, {}, "holds a number that is out of range" });
    } catch (const NestingError &error) {
        problems.push_back({ {}, {}, error.what() });
    }
    return nullptr;
}

} // namespace auburndoor
