#include "settings/SettingsLoader.h"

#include "core/RandomId.h"
#include "core/TextFile.h"
#include "fakes/Mutation.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace auburndoor;
using Json = nlohmann::json;

namespace {

const std::string digest(64, 'a');

Json minimalSettings()
{
    return { { "instance", { { "id", "entry-1" }, { "failureDomain", "quito" }, { "region", "sierra" } } },
             { "operators", { { "tokenDigests", { digest } } } },
             { "peers", { { "secret", "sixteen-letters!" } } },
             { "platform", { { "addresses", { "10.0.0.1:7000" } } } } };
}

ValidationProblems problemsOf(const std::string &text)
{
    ValidationProblems problems;
    const auto settings = SettingsLoader::parse(text, {}, problems);
    CHECK(settings.has_value() == problems.empty());
    return problems;
}

/** The problem at a path; fails the test if there is none. */
ValidationProblem problemAt(const ValidationProblems &problems, const std::string &path)
{
    for (const auto &problem : problems) {
        if (problem.path == path) {
            return problem;
        }
    }
    FAIL("no problem at " << path << " among\n" << toText(problems));
    return {};
}

std::string treePath(const std::string &name)
{
    return (std::filesystem::path(__FILE__).parent_path() / "../.." / name).string();
}

} // namespace

TEST_CASE("the example and the shortest file load, and absent settings have their defaults", "[settings]")
{
    // Guards against an example or a default that drifts away from the checks.
    ValidationProblems problems;
    const auto example = SettingsLoader::load(treePath("examples/settings.json"), problems);
    INFO(toText(problems));
    REQUIRE(example);
    const auto settings = SettingsLoader::parse(minimalSettings().dump(), {}, problems);
    INFO(toText(problems));
    REQUIRE(settings);
    CHECK(settings->instance.id.text() == "entry-1");
    CHECK(settings->callers.threads == example->callers.threads);
    CHECK(settings->callers.waitingConnections == example->callers.waitingConnections);
    CHECK(settings->operators.threads == example->operators.threads);
    CHECK(settings->platform.writesPerSecond == 300);
    CHECK(settings->membership.heartbeatPeriod == Milliseconds(500));
    CHECK(settings->membership.suspicion == Milliseconds(2000));
    CHECK(settings->ownership.lease == Milliseconds(6000));
    CHECK(settings->ownership.shardsPerDomain == 8);
    CHECK(settings->placement.policy == PlacementPolicy::BestFit);
    CHECK(settings->queue.order == QueueOrdering::FairDeadline);
    CHECK(settings->tasks.lease == Milliseconds(30'000));
    CHECK(settings->configuration.poll == Milliseconds(1000));
    CHECK(settings->retry.budgetPercent == 10);
    CHECK(settings->shutdown.deadline == Milliseconds(30'000));
}

TEST_CASE("every problem is reported at once with path, value and allowed range", "[settings]")
{
    // Guards against an operator who repairs a file problem by problem, one restart for each.
    auto file = minimalSettings();
    file["callers"] = { { "port", 70'000 }, { "thread", 3 }, { "address", "localhost" } };
    file["instance"].erase("region");
    file["placement"] = { { "policy", "bestfit" } };
    file["platform"]["addresses"].push_back("10.0.0.1:99999");
    file["tasks"] = { { "leaseMs", 1.5 } };
    file["shutdwon"] = Json::object();
    const auto problems = problemsOf(file.dump());
    CHECK(problemAt(problems, "callers.port")
          == ValidationProblem { "callers.port", "70000", "must be a whole number from 0 to 65535" });
    CHECK(problemAt(problems, "callers.thread").message == "is unknown; did you mean \"threads\"?");
    CHECK(problemAt(problems, "callers.address").message == "must be an IPv4 address");
    CHECK(problemAt(problems, "instance.region").message == "is missing");
    CHECK(problemAt(problems, "placement.policy").message
          == "must be one of best-fit, first-fit, random; did you mean \"best-fit\"?");
    CHECK(problemAt(problems, "platform.addresses[1]").value == "\"10.0.0.1:99999\"");
    CHECK(problemAt(problems, "tasks.leaseMs").value == "1.5");
    CHECK(problemAt(problems, "shutdwon").message == "is unknown; did you mean \"shutdown\"?");
    CHECK(problems.size() == 8);
}

TEST_CASE("relations between settings are checked", "[settings]")
{
    // Guards against values that are each in range but together lose leases or suspect live peers.
    struct Relation
    {
        const char *patch;
        const char *path;
    };
    const auto relation = GENERATE(Relation { R"({"ownership":{"leaseMs":5999}})", "ownership.renewalMs" },
                                   Relation { R"({"tasks":{"renewalMs":10001}})", "tasks.renewalMs" },
                                   Relation { R"({"membership":{"suspicionMs":1000}})", "membership.suspicionMs" },
                                   Relation { R"({"membership":{"summaryFloorMs":501}})", "membership.summaryFloorMs" },
                                   Relation { R"({"callers":{"port":80},"operators":{"port":80}})", "operators.port" },
                                   Relation { R"({"callers":{"port":80},"peers":{"port":80,"address":"10.0.0.5"}})", "" },
                                   Relation { R"({"callers":{"port":80,"address":"0.0.0.0"},"peers":{"port":80}})", "peers.port" },
                                   Relation { R"({"peers":{"address":"0.0.0.0"}})", "peers.address" },
                                   Relation { R"({"platform":{"addresses":["1.1.1.1:7","1.1.1.1:7"]}})", "platform.addresses[1]" });
    auto file = minimalSettings();
    file.merge_patch(Json::parse(relation.patch));
    const auto problems = problemsOf(file.dump());
    INFO(relation.patch << "\n" << toText(problems));
    const std::string path = relation.path;
    REQUIRE(problems.size() == (path.empty() ? 0 : 1));
    CHECK((path.empty() || problems.front().path == path));
}

TEST_CASE("no problem shows a secret", "[settings]")
{
    // Guards against a secret or a token, pasted in place of its digest, that ends up in a log.
    auto file = minimalSettings();
    file["peers"]["secret"] = "hushhush";
    file["operators"]["tokenDigests"] = { "hushhush" };
    CHECK(toText(problemsOf(file.dump())).find("hush") == std::string::npos);
    file["peers"]["secretFile"] = "x";
    CHECK(toText(problemsOf(file.dump())).find("hush") == std::string::npos);
    const auto cut = toText(problemsOf(R"({"peers":{"secret":"hushhush)"));
    CHECK(cut.find("hush") == std::string::npos);
    CHECK(cut.find("line 1, column") != std::string::npos);
}

TEST_CASE("the secret may come from a file beside the settings", "[settings]")
{
    const auto folder = std::filesystem::temp_directory_path() / ("auburndoor-settings-" + makeRandomId());
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "secret") << "from-the-file-0123\n";
    auto file = minimalSettings();
    file["peers"] = { { "secretFile", "secret" } };
    std::ofstream(folder / "settings.json") << "// comment\n" << file.dump();
    ValidationProblems problems;
    const auto settings = SettingsLoader::load((folder / "settings.json").string(), problems);
    INFO(toText(problems));
    REQUIRE(settings);
    CHECK(settings->peers.secret == "from-the-file-0123");
    file["peers"] = { { "secretFile", "." } };
    CHECK_FALSE(SettingsLoader::parse(file.dump(), folder.string(), problems));
    CHECK(problemAt(problems, "peers.secretFile").message == "cannot be read");
    CHECK_FALSE(SettingsLoader::load((folder / "missing.json").string(), problems));
    CHECK(problems.size() == 1);
    std::filesystem::remove_all(folder);
}

TEST_CASE("a name that is given twice and deep nesting are problems", "[settings]")
{
    // Guards against the JSON library, which keeps one of two values silently, and against exhausting the stack.
    const auto twice = problemsOf(R"({"retry":{"budgetPercent":5,"budgetPercent":50}})");
    CHECK(problemAt(twice, "retry.budgetPercent").message == "is given twice");
    CHECK(problemsOf(std::string(100'000, '[')).front().message == "is nested deeper than 32 levels");
}

TEST_CASE("every setting of the example has a line in the page", "[settings]")
{
    // Guards against a setting that nobody can look up.
    const auto page = readTextFile(treePath("docs/configuration.md"), 1 << 20).value_or("");
    const auto text = readTextFile(treePath("examples/settings.json"), 1 << 20).value_or("");
    const auto example = Json::parse(text, nullptr, true, true);
    for (const auto &section : example.items()) {
        for (const auto &setting : section.value().items()) {
            INFO(section.key() << "." << setting.key());
            CHECK(page.find("| `" + section.key() + "." + setting.key() + "` |") != std::string::npos);
        }
    }
    CHECK(example.size() == 14);
}

TEST_CASE("any mutation of the example is accepted or refused with a problem", "[settings]")
{
    // Guards against a crash, an exception or a refusal without a reason.
    const auto text = readTextFile(treePath("examples/settings.json"), 1 << 20);
    REQUIRE(text);
    rc::prop("accepted or explained", [&] {
        ValidationProblems problems;
        const auto settings = SettingsLoader::parse(mutated(*text), {}, problems);
        RC_ASSERT(settings.has_value() == problems.empty());
    });
}
