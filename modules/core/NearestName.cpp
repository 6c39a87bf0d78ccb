#include "core/NearestName.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace auburndoor {

namespace {

constexpr std::size_t listedCandidates = 12;
/** Longer texts are no misspelt names, and the distance takes quadratic time. */
constexpr std::size_t longestName = 64;

bool isSameLetter(char left, char right)
{
    return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
}

/** The Levenshtein distance: insertions, deletions and replacements that turn one text into the other. */
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const auto replaced = diagonal + (isSameLetter(left[i - 1], right[j - 1]) ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
        }
    }
    return row.back();
}

} // namespace

std::string nearestName(std::string_view text, const std::vector<std::string> &candidates)
{
    std::string best;
    auto bestDistance = longestName;
    if (text.size() > longestName) {
        return best;
    }
    for (const auto &candidate : candidates) {
        const auto distance = editDistance(text, candidate);
        if (distance < bestDistance && distance <= std::max<std::size_t>(1, candidate.size() / 3)) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

std::string suggestionFor(std::string_view text, const std::vector<std::string> &candidates)
{
    const auto nearest = nearestName(text, candidates);
    if (!nearest.empty()) {
        return "; did you mean \"" + nearest + "\"?";
    }
    if (candidates.empty() || candidates.size() > listedCandidates) {
        return {};
    }
    std::string list = "; known:";
    for (const auto &candidate : candidates) {
        list += (list.back() == ':' ? " " : ", ") + candidate;
    }
    return list;
}

} // namespace auburndoor
