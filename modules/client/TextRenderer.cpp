#include "client/TextRenderer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace auburndoor {

using Json = nlohmann::ordered_json;

namespace {

constexpr std::size_t indentStep = 2;

std::string plainText(const Json &value)
{
    if (value.is_string()) {
        return printable(value.get<std::string>());
    }
    return printable(value.dump(-1, ' ', false, Json::error_handler_t::replace));
}

bool isTable(const Json &value)
{
    return value.is_array() && !value.empty()
           && std::all_of(value.begin(), value.end(), [](const Json &row) { return row.is_object(); });
}

/** Returns the names of the columns in the order of their first occurrence. */
std::vector<std::string> columnsOf(const Json &rows)
{
    std::vector<std::string> columns;
    for (const auto &row : rows) {
        for (const auto &field : row.items()) {
            if (std::find(columns.begin(), columns.end(), field.key()) == columns.end()) {
                columns.push_back(field.key());
            }
        }
    }
    return columns;
}

std::string renderTable(const Json &rows, std::size_t indent)
{
    const auto columns = columnsOf(rows);
    std::vector<std::vector<std::string>> lines { {} };
    for (const auto &column : columns) {
        lines.front().push_back(printable(column));
    }
    for (const auto &row : rows) {
        auto &line = lines.emplace_back();
        for (const auto &column : columns) {
            line.push_back(row.contains(column) ? plainText(row.at(column)) : "-");
        }
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto &line : lines) {
        for (std::size_t index = 0; index < line.size(); ++index) {
            widths[index] = std::max(widths[index], line[index].size());
        }
    }
    std::string text;
    for (const auto &line : lines) {
        text.append(indent, ' ');
        for (std::size_t index = 0; index < line.size(); ++index) {
            text += line[index];
            if (index + 1 < line.size()) {
                text.append(widths[index] - line[index].size() + 2, ' ');
            }
        }
        text += "\n";
    }
    return text;
}

std::string render(const Json &value, std::size_t indent)
{
    if (isTable(value)) {
        return renderTable(value, indent);
    }
    const std::string margin(indent, ' ');
    std::string text;
    if (value.is_object()) {
        for (const auto &field : value.items()) {
            const auto isNested = (field.value().is_object() || field.value().is_array()) && !field.value().empty();
            text += margin + printable(field.key()) + ":"
                    + (isNested ? "\n" + render(field.value(), indent + indentStep) : " " + plainText(field.value()) + "\n");
        }
    } else if (value.is_array()) {
        for (const auto &element : value) {
            text += margin + "- " + plainText(element) + "\n";
        }
    } else {
        text += margin + plainText(value) + "\n";
    }
    return text;
}

} // namespace

std::string printable(const std::string &text)
{
    constexpr unsigned char firstPrintable = 32;
    constexpr unsigned char deleteCharacter = 127;
    auto result = text;
    std::replace_if(
        result.begin(),
        result.end(),
        [](unsigned char letter) { return letter < firstPrintable || letter == deleteCharacter; },
        '?');
    return result;
}

std::string renderText(const Json &value)
{
    return render(value, 0);
}

} // namespace auburndoor
