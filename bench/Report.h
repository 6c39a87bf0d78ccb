#pragma once

#include <optional>
#include <string>
#include <vector>

/** One measured figure, with an upper or a lower bound if a target sets one. */
struct Figure
{
    std::string name;
    double value = 0;
    std::string unit;
    std::optional<double> atMost;
    std::optional<double> atLeast;

    bool isWithinBound() const;
};

/** Collects figures, prints them as a table and writes them as JSON. */
class Report
{
public:
    void add(const std::string &name, double value, const std::string &unit);
    void addAtMost(const std::string &name, double value, const std::string &unit, double bound);
    void addAtLeast(const std::string &name, double value, const std::string &unit, double bound);

    void print() const;

    /** @return false if the file cannot be written */
    bool writeJson(const std::string &path, unsigned long long seed) const;

    /** @return the number of figures outside their bound */
    int missedBounds() const;

private:
    std::vector<Figure> figures_;
};
