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

/** Whether a field of a JSON object may be absent. */
enum class Presence {
    Optional,
    Required,
};

/**
    Parses JSON that may contain comments.

    Reports syntax errors with line and column, nesting deeper than 32 levels, and names that are given twice in one object, of
    which the JSON library would silently keep only one value.

    @return null if the text is not valid JSON, is nested too deeply or holds a number out of range; a value that is returned
            together with problems can still be searched for further ones
*/
std::shared_ptr<const nlohmann::json> parseJson(const std::string &text, ValidationProblems &problems);

/** The rule that isIdentifier() checks, worded for messages. */
inline constexpr auto identifierRule = "1 to 64 letters, digits, '.', '_' and '-', starting with a letter or digit";

/** True if the text follows identifierRule, so that it can be part of a table row's key. */
bool isIdentifier(std::string_view text);

/** True for an IPv4 address in dotted notation. */
bool isIpAddress(const std::string &text);

/** True for "ip:port" with a port from 1 to 65535. */
bool isEndpoint(const std::string &text);

/** One element of a JSON array or entry of a JSON object, with its path. */
struct JsonItem
{
    /** The name in an object, or the index in an array. */
    std::string name;
    std::string path;
    const nlohmann::json *value = nullptr;
};

/**
    Reads the fields of one JSON object into typed variables and collects all problems found.

    A variable keeps its value when its field is absent or invalid. Each name that is read counts as known; finish() reports the
    fields whose names are not known.
*/
class JsonFields
{
public:
    /** @param value must outlive this object; if it is not a JSON object, a problem is added and all fields count as absent */
    JsonFields(const nlohmann::json &value, std::string path, ValidationProblems &problems);

    /** Reads a whole number from minimum to maximum. */
    template<typename Integer>
    void read(const char *name, Integer &target, std::int64_t minimum, std::int64_t maximum, Presence presence = Presence::Optional)
    {
        std::int64_t number = 0;
        if (readInteger(name, number, minimum, maximum, presence)) {
            target = static_cast<Integer>(number);
        }
    }

    /** Reads a duration from minimum to maximum, given as a whole number of milliseconds. */
    void read(const char *name, Milliseconds &target, Milliseconds minimum, Milliseconds maximum);

    void read(const char *name, bool &target);

    /**
        Reads a string.

        @param isValid  returns whether a string is allowed
        @param rule     the rule that isValid checks, worded for the message after "must be"
        @param isSecret whether the value is left out of the problem
    */
    void read(const char *name,
              std::string &target,
              const std::function<bool(const std::string &)> &isValid,
              const std::string &rule,
              Presence presence = Presence::Optional,
              bool isSecret = false);

    /** Reads one of the given names and sets the target to the value that belongs to it. */
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

    /** The elements of an array; empty if it is absent or invalid. @param limit largest allowed number of elements */
    std::vector<JsonItem> elements(const char *name, std::size_t limit, Presence presence = Presence::Optional);

    /** The entries of an object with names chosen by the user; empty if it is absent or invalid. @param limit most entries */
    std::vector<JsonItem> entries(const char *name, std::size_t limit);

    /** A reader for the fields of a nested object; if it is absent, all its fields count as absent. */
    JsonFields inner(const char *name, Presence presence = Presence::Optional);

    /** True if the field is present, whether valid or not; the name then counts as known. */
    bool has(const char *name);

    /** The path of a field of this object, such as "callers.port"; a name longer than 80 bytes is cut. */
    std::string pathOf(std::string_view name) const;

    /** Adds a problem with a field; the problem shows the field's value unless it is a secret. */
    void add(const char *name, const std::string &message, bool isSecret = false);

    /** Reports each field whose name is not known, and suggests the nearest known name. Must be called last. */
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

/** The value as it appears in a problem: JSON, cut after 80 bytes. */
std::string shownValue(const nlohmann::json &value);

} // namespace auburndoor
