#include "cell/Promise.h"

#include <algorithm>

namespace auburndoor {

std::string name(Promise promise)
{
    static const std::map<Promise, std::string> names {
        { Promise::Capacity, "no worker beyond its capacity" },
        { Promise::OnePlace, "no task in two places at once" },
        { Promise::WholeAnswer, "every caller gets its whole answer" },
        { Promise::NotRun, "not run means not run" },
        { Promise::AtMostOnce, "not repeatable: at most once" },
        { Promise::Leaving, "nothing new for a leaving worker" },
        { Promise::GracefulStop, "a planned stop cuts no request" },
        { Promise::Configuration, "configuration in force within 3 s, never reverts" },
    };
    return std::to_string(static_cast<int>(promise)) + " " + names.at(promise);
}

void CheckResult::add(const CheckResult &other)
{
    for (const auto &[promise, number] : other.checked) {
        checked[promise] += number;
    }
    violations.insert(violations.end(), other.violations.begin(), other.violations.end());
}

long long CheckResult::count(Promise promise) const
{
    return std::count_if(
        violations.begin(), violations.end(), [promise](const Violation &violation) { return violation.promise == promise; });
}

std::string CheckResult::text() const
{
    std::string result;
    for (const auto &violation : violations) {
        result += name(violation.promise) + ": " + violation.text + "\n";
    }
    return result;
}

} // namespace auburndoor
