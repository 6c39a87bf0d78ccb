#include "core/JsonFields.h"

#include "core/NearestName.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

namespace auburndoor {

using Json = nlohmann::json;

namespace {

constexpr std::size_t maxShownBytes = 80;
constexpr std::size_t maxIdentifierLength = 64;
constexpr int maxPort = 65535;

const Json &emptyObject()
{
    static const Json object = Json::object();
    return object;
}

std::string rangeText(std::int64_t minimum, std::int64_t maximum)
{
    return "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

} // namespace

std::string shownValue(const Json &value)
{
    auto text = value.dump(-1, ' ', true, Json::error_handler_t::replace);
    if (text.size() > maxShownBytes) {
        text.resize(maxShownBytes);
        text += "...";
    }
    return text;
}

bool isIdentifier(std::string_view text)
{
    const auto isAllowed = [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '.' || character == '_' || character == '-';
    };
    return !text.empty() && text.size() <= maxIdentifierLength && std::isalnum(static_cast<unsigned char>(text.front())) != 0
           && std::all_of(text.begin(), text.end(), isAllowed);
}

bool isIpAddress(const std::string &text)
{
    in_addr address {};
    return inet_pton(AF_INET, text.c_str(), &address) == 1 && text.find('\0') == std::string::npos;
}

bool isEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !isIpAddress(text.substr(0, colon))) {
        return false;
    }
    int port = 0;
    const auto *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data() + colon + 1, end, port);
    return error == std::errc() && position == end && port >= 1 && port <= maxPort;
}

JsonFields::JsonFields(const Json &value, std::string path, ValidationProblems &problems)
    : object_(&value), path_(std::move(path)), problems_(problems)
{
    if (!value.is_object()) {
        problems_.push_back({ path_, shownValue(value), "must be an object" });
        object_ = &emptyObject();
    }
}

std::string JsonFields::pathOf(std::string_view name) const
{
    // Names chosen by the user may have any length, and the path of an object is repeated in the paths of all its fields.
    const auto shown = name.size() <= maxShownBytes ? std::string(name) : std::string(name.substr(0, maxShownBytes)) + "...";
    return path_.empty() ? shown : path_ + "." + shown;
}

void JsonFields::add(const char *name, const std::string &message, bool isSecret)
{
    const auto found = object_->find(name);
    const auto isShown = found != object_->end() && !isSecret;
    problems_.push_back({ pathOf(name), isShown ? shownValue(*found) : std::string(), message });
}

bool JsonFields::has(const char *name)
{
    return find(name, Presence::Optional) != nullptr;
}

const Json *JsonFields::find(const char *name, Presence presence)
{
    if (std::find(knownNames_.begin(), knownNames_.end(), name) == knownNames_.end()) {
        knownNames_.emplace_back(name);
    }
    const auto found = object_->find(name);
    if (found != object_->end()) {
        return &*found;
    }
    if (presence == Presence::Required) {
        problems_.push_back({ pathOf(name), {}, "is missing" });
    }
    return nullptr;
}

bool JsonFields::readInteger(const char *name, std::int64_t &target, std::int64_t minimum, std::int64_t maximum, Presence presence)
{
    const auto *value = find(name, presence);
    if (value == nullptr) {
        return false;
    }
    const auto isTooLarge = value->is_number_unsigned()
                            && value->get<std::uint64_t>() > std::uint64_t { std::numeric_limits<std::int64_t>::max() };
    if (!value->is_number_integer() || isTooLarge || value->get<std::int64_t>() < minimum || value->get<std::int64_t>() > maximum) {
        add(name, rangeText(minimum, maximum));
        return false;
    }
    target = value->get<std::int64_t>();
    return true;
}

void JsonFields::read(const char *name, Milliseconds &target, Milliseconds minimum, Milliseconds maximum)
{
    std::int64_t number = 0;
    if (readInteger(name, number, minimum.count(), maximum.count(), Presence::Optional)) {
        target = Milliseconds(number);
    }
}

void JsonFields::read(const char *name, bool &target)
{
    const auto *value = find(name, Presence::Optional);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        add(name, "must be true or false");
        return;
    }
    target = value->get<bool>();
}

void JsonFields::read(const char *name,
                      std::string &target,
                      const std::function<bool(const std::string &)> &isValid,
                      const std::string &rule,
                      Presence presence,
                      bool isSecret)
{
    const auto *value = find(name, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !isValid(value->get_ref<const std::string &>())) {
        add(name, "must be " + rule, isSecret);
        return;
    }
    target = value->get<std::string>();
}

std::size_t JsonFields::readName(const char *name, const std::vector<std::string> &names, Presence presence)
{
    const auto *value = find(name, presence);
    if (value == nullptr) {
        return names.size();
    }
    const auto text = value->is_string() ? value->get<std::string>() : std::string();
    const auto found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        std::string list;
        for (const auto &known : names) {
            list += (list.empty() ? "" : ", ") + known;
        }
        const auto nearest = nearestName(text, names);
        add(name, "must be one of " + list + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
    }
    return static_cast<std::size_t>(found - names.begin());
}

std::vector<JsonItem> JsonFields::elements(const char *name, std::size_t limit, Presence presence)
{
    std::vector<JsonItem> items;
    const auto *value = find(name, presence);
    if (value == nullptr) {
        return items;
    }
    if (!value->is_array() || value->size() > limit || (value->empty() && presence == Presence::Required)) {
        const std::string atLeast = presence == Presence::Required ? "1" : "0";
        add(name, "must be a list of " + atLeast + " to " + std::to_string(limit) + " entries");
        return items;
    }
    for (std::size_t index = 0; index < value->size(); ++index) {
        const auto text = std::to_string(index);
        items.push_back({ text, pathOf(name) + "[" + text + "]", &(*value)[index] });
    }
    return items;
}

std::vector<JsonItem> JsonFields::entries(const char *name, std::size_t limit)
{
    std::vector<JsonItem> items;
    const auto *value = find(name, Presence::Optional);
    if (value == nullptr) {
        return items;
    }
    if (!value->is_object() || value->size() > limit) {
        add(name, "must be an object with at most " + std::to_string(limit) + " entries");
        return items;
    }
    const JsonFields entries(*value, pathOf(name), problems_);
    for (const auto &entry : value->items()) {
        items.push_back({ entry.key(), entries.pathOf(entry.key()), &entry.value() });
    }
    return items;
}

JsonFields JsonFields::inner(const char *name, Presence presence)
{
    const auto *value = find(name, presence);
    return { value == nullptr ? emptyObject() : *value, pathOf(name), problems_ };
}

void JsonFields::finish()
{
    for (const auto &entry : object_->items()) {
        if (std::find(knownNames_.begin(), knownNames_.end(), entry.key()) == knownNames_.end()) {
            problems_.push_back(
                { pathOf(entry.key()), shownValue(entry.value()), "is unknown" + suggestionFor(entry.key(), knownNames_) });
        }
    }
}

} // namespace auburndoor
