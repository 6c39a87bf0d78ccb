#pragma once

#include "core/Clock.h"
#include "core/ValidationProblem.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburndoor {

/** Whether a field of a JSON object may be left out. */
enum class Presence {
    Optional,
    Required,
};

/**
    Parses JSON with comments.

    Besides errors of syntax (with line and column), a name that is given twice in one object and nesting deeper than 32 levels are
    problems: the library keeps one of two values silently.

    @return empty if the text is no JSON; a value may come with problems, so that the caller can look for more
*/
std::shared_ptr<const nlohmann::json> parseJson(const std::string &text, ValidationProblems &problems);

/** What isIdentifier() asks for, as messages show it. */
inline constexpr auto identifierRule = "1 to 64 letters, digits, '.', '_' and '-', starting with a letter or digit";

/** True for a text that follows identifierRule and is therefore fit for a part of a row's key. */
bool isIdentifier(std::string_view text);

/** True for an IPv4 address in dotted notation. */
bool isIpAddress(const std::string &text);

/** True for "ip:port" with a port from 1 to 65535. */
bool isEndpoint(const std::string &text);

/** One number or text of a JSON array or object, with its path. */
struct JsonItem
{
    /** The name in an object, or the index in an array. */
    std::string name;
    std::string path;
    const nlohmann::json *value = nullptr;
};

/**
    Reads the fields of one JSON object into typed variables and collects everything that is wrong.

    A variable keeps its value when its field is absent or wrong. Each name that is read counts as known; finish() reports the
    others.
*/
class JsonFields
{
public:
    /** @param value must outlive this object; if it is no object, that is a problem and all fields count as absent */
    JsonFields(const nlohmann::json &value, std::string path, ValidationProblems &problems);

    /** Reads a whole number in a range. */
    template<typename Integer>
    void read(const char *name, Integer &target, std::int64_t minimum, std::int64_t maximum, Presence presence = Presence::Optional)
    {
        std::int64_t number = 0;
        if (readInteger(name, number, minimum, maximum, presence)) {
            target = static_cast<Integer>(number);
        }
    }

    /** Reads a duration given as a whole number of milliseconds. */
    void read(const char *name, Milliseconds &target, Milliseconds minimum, Milliseconds maximum);

    void read(const char *name, bool &target);

    /**
        Reads a text.

        @param isValid  what the text must satisfy
        @param rule     what isValid asks for, as the message shows it
        @param isSecret keeps the value out of the problem
    */
    void read(const char *name,
              std::string &target,
              const std::function<bool(const std::string &)> &isValid,
              const std::string &rule,
              Presence presence = Presence::Optional,
              bool isSecret = false);

    /** Reads one of several names. */
    template<typename Value>
    void readChoice(const char *name,
                    Value &target,
                    std::initializer_list<std::pair<const char *, Value>> choices,
                    Presence presence = Presence::Optional)
    {
        std::vector<std::string> names;
        for (const auto &choice : choices) {
            names.emplace_back(choice.first);
        }
        const auto index = readName(name, names, presence);
        if (index < names.size()) {
            target = (choices.begin() + index)->second;
        }
    }

    /** The elements of an array; empty if it is absent or wrong. @param limit most elements */
    std::vector<JsonItem> elements(const char *name, std::size_t limit, Presence presence = Presence::Optional);

    /** The entries of an object with names of the user's choice; empty if it is absent or wrong. @param limit most entries */
    std::vector<JsonItem> entries(const char *name, std::size_t limit);

    /** The fields of an inner object; of an empty one if it is absent. */
    JsonFields inner(const char *name, Presence presence = Presence::Optional);

    /** True if the field is there, right or wrong; counts the name as known. */
    bool has(const char *name);

    /** The path of a field of this object. */
    std::string pathOf(std::string_view name) const;

    /** Adds a problem with a field; the value is taken from the file unless it is a secret. */
    void add(const char *name, const std::string &message, bool isSecret = false);

    /** Reports the fields that nobody has read, with the nearest known name. Call it last. */
    void finish();

private:
    const nlohmann::json *find(const char *name, Presence presence);
    bool readInteger(const char *name, std::int64_t &target, std::int64_t minimum, std::int64_t maximum, Presence presence);
    std::size_t readName(const char *name, const std::vector<std::string> &names, Presence presence);

    const nlohmann::json *object_;
    std::string path_;
    ValidationProblems &problems_;
    std::vector<std::string> knownNames_;
};

/** The value as a problem shows it: JSON, cut after 80 bytes. */
std::string shownValue(const nlohmann::json &value);

} // namespace auburndoor
