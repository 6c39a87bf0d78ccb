#include "core/JsonFields.h"

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

/** More levels than any of the files needs, and few enough for code that processes a value recursively. */
constexpr int maxNestingDepth = 32;

struct NestingError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** Parser callback that reports names given twice in one object and throws NestingError when the nesting is too deep. */
class ParseEventChecker
{
public:
    explicit ParseEventChecker(ValidationProblems &problems) : problems_(problems)
    {
    }

    bool operator()(int depth, Json::parse_event_t event, Json &parsed)
    {
        if (depth > maxNestingDepth) {
            throw NestingError("is nested deeper than " + std::to_string(maxNestingDepth) + " levels");
        }
        switch (event) {
        case Json::parse_event_t::object_start:
            openObjects_.emplace_back();
            break;
        case Json::parse_event_t::object_end:
            openObjects_.pop_back();
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
        openObjects_.back().lastName = name;
        if (openObjects_.back().names.insert(name).second) {
            return;
        }
        std::string path;
        for (const auto &object : openObjects_) {
            path += (path.empty() ? "" : ".") + object.lastName;
        }
        problems_.push_back({ path, {}, "is given twice" });
    }

    ValidationProblems &problems_;
    std::vector<OpenObject> openObjects_;
};

/** The line and column of a byte, as text; byte, line and column are counted from 1. */
std::string describePosition(const std::string &text, std::size_t byte)
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
        ParseEventChecker checker(problems);
        return std::make_shared<const Json>(Json::parse(text, std::ref(checker), true, true));
    } catch (const Json::parse_error &error) {
        // The library's own message is not shown: it ends with the last token read, which may be part of a secret.
        problems.push_back({ {}, {}, "is not valid JSON at " + describePosition(text, error.byte) });
    } catch (const Json::exception &) {
        // The parser throws this for a number that a double cannot hold.
        problems.push_back({ {}, {}, "holds a number that is out of range" });
    } catch (const NestingError &error) {
        problems.push_back({ {}, {}, error.what() });
    }
    return nullptr;
}

} // namespace auburndoor
