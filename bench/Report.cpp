#include "Report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>

bool Figure::isWithinBound() const
{
    return (!atMost || value <= *atMost) && (!atLeast || value >= *atLeast);
}

void Report::add(const std::string &name, double value, const std::string &unit)
{
    figures_.push_back({ name, value, unit, std::nullopt, std::nullopt });
}

void Report::addAtMost(const std::string &name, double value, const std::string &unit, double bound)
{
    figures_.push_back({ name, value, unit, bound, std::nullopt });
}

void Report::addAtLeast(const std::string &name, double value, const std::string &unit, double bound)
{
    figures_.push_back({ name, value, unit, std::nullopt, bound });
}

void Report::print() const
{
    for (const auto &figure : figures_) {
        std::string bound;
        if (figure.atMost) {
            bound = "at most " + nlohmann::json(*figure.atMost).dump();
        } else if (figure.atLeast) {
            bound = "at least " + nlohmann::json(*figure.atLeast).dump();
        }
        std::printf("%-64s %14.3f %-7s %-28s %s\n",
                    figure.name.c_str(),
                    figure.value,
                    figure.unit.c_str(),
                    bound.c_str(),
                    bound.empty() ? "" : (figure.isWithinBound() ? "ok" : "MISSED"));
    }
    std::printf("%d bounds missed\n", missedBounds());
}

bool Report::writeJson(const std::string &path, unsigned long long seed) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &figure : figures_) {
        nlohmann::json item { { "name", figure.name }, { "value", figure.value }, { "unit", figure.unit } };
        if (figure.atMost) {
            item["atMost"] = *figure.atMost;
        }
        if (figure.atLeast) {
            item["atLeast"] = *figure.atLeast;
        }
        item["ok"] = figure.isWithinBound();
        list.push_back(item);
    }
    std::ofstream file(path);
    file << nlohmann::json { { "seed", seed }, { "missed", missedBounds() }, { "figures", list } }.dump(2) << '\n';
    return file.good();
}

int Report::missedBounds() const
{
    return static_cast<int>(
        std::count_if(figures_.begin(), figures_.end(), [](const Figure &figure) { return !figure.isWithinBound(); }));
}
