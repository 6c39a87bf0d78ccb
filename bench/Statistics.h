#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

/** @return the quantile (0 to 1) of a set of values by nearest rank; 0 for an empty set */
inline double quantile(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}
