#include "core/NearestName.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace auburndoor {

namespace {

constexpr std::size_t maxListedCandidates = 12;
/** A longer text is not a misspelt name, and computing the edit distance takes quadratic time. */
constexpr std::size_t maxNameLength = 64;

bool isEqualIgnoringCase(char left, char right)
{
    return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
}

/** The Levenshtein distance: the fewest insertions, deletions and replacements of letters that turn one text into the other. */
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const auto replacementDistance = diagonal + (isEqualIgnoringCase(left[i - 1], right[j - 1]) ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replacementDistance });
        }
    }
    return row.back();
}

} // namespace

std::string nearestName(std::string_view text, const std::vector<std::string> &candidates)
{
    std::string best;
    auto bestDistance = maxNameLength;
    if (text.size() > maxNameLength) {
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
    if (candidates.empty() || candidates.size() > maxListedCandidates) {
        return {};
    }
    std::string list = "; known:";
    for (const auto &candidate : candidates) {
        list += (list.back() == ':' ? " " : ", ") + candidate;
    }
    return list;
}

} // namespace auburndoor
