#include "OverloadComparison.h"

#include "OverloadSimulator.h"
#include "Report.h"

#include <cstdio>

namespace {

struct NamedPolicy
{
    const char *name;
    OverloadPolicy policy;
};

constexpr NamedPolicy policies[] = { { "scarcity", OverloadPolicy::Scarcity },
                                     { "deadline", OverloadPolicy::Deadline },
                                     { "first come", OverloadPolicy::FirstCome } };

constexpr double loads[] = { 0.6, 1.0, 1.3, 1.6, 2.0 };
constexpr int seeds = 5;
constexpr int quickSeeds = 2;

void printRow(double load, const char *order, const OverloadResult &result)
{
    std::printf("%4.1f %-10s %9.1f %6.3f %6.3f %6.3f %6.3f %7.3f %7lld %6lld %10.1f %8lld\n",
                load,
                order,
                result.cost(),
                result.kinds[0].served(),
                result.kinds[1].served(),
                result.kinds[2].served(),
                result.large.served(),
                result.worstAccount(),
                result.starts,
                result.stops,
                result.discarded,
                static_cast<long long>(result.urgentWait.count()));
}

} // namespace

void measureOverload(Report &report, std::uint64_t seed, bool isQuick)
{
    std::printf(
        "Overloaded service: value that callers lose, part of their value that kinds get, core-seconds that are repeated\n");
    std::printf("%4s %-10s %9s %6s %6s %6s %6s %7s %7s %6s %10s %8s\n",
                "load",
                "order",
                "lost",
                "urgent",
                "second",
                "third",
                "large",
                "account",
                "starts",
                "stops",
                "discarded",
                "wait_ms");
    for (const double load : loads) {
        OverloadResult results[std::size(policies)];
        for (int index = 0; index < (isQuick ? quickSeeds : seeds); ++index) {
            OverloadOptions options;
            options.seed = seed + static_cast<std::uint64_t>(index);
            options.load = load;
            const auto jobs = makeOverload(options);
            for (std::size_t policy = 0; policy < std::size(policies); ++policy) {
                results[policy].add(OverloadSimulator(options, policies[policy].policy).run(jobs));
            }
        }
        for (std::size_t policy = 0; policy < std::size(policies); ++policy) {
            printRow(load, policies[policy].name, results[policy]);
        }
        const auto name = "overload, load " + std::to_string(static_cast<int>(load * 100)) + "%: ";
        // A single job that ends late for another reason is no difference of the orders.
        constexpr double smallPart = 0.001;
        double owed = 0;
        for (const auto &kind : results[0].kinds) {
            owed += kind.owed;
        }
        report.addAtMost(name + "value lost", results[0].cost(), "", results[1].cost() + owed * smallPart);
        report.addAtLeast(name + "part of the worst kind", results[0].worstKind(), "", results[1].worstKind() - smallPart);
    }
}
