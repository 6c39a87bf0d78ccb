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

ValidationProblems findProblems(const std::string &text)
{
    ValidationProblems problems;
    const auto settings = SettingsLoader::parse(text, {}, problems);
    CHECK(settings.has_value() == problems.empty());
    return problems;
}

/** Returns the problem at a path; fails the test if there is none. */
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

std::string repositoryPath(const std::string &name)
{
    return (std::filesystem::path(__FILE__).parent_path() / "../.." / name).string();
}

} // namespace

TEST_CASE("the example and the minimal file load, and absent settings have their defaults", "[settings]")
{
    // Guards against an example file or a default value that violates the checks.
    ValidationProblems problems;
    const auto example = SettingsLoader::load(repositoryPath("examples/settings.json"), problems);
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
    // Guards against a loader that stops at the first problem, so that an operator needs one restart per problem.
    auto file = minimalSettings();
    file["callers"] = { { "port", 70'000 }, { "thread", 3 }, { "address", "localhost" } };
    file["instance"].erase("region");
    file["placement"] = { { "policy", "bestfit" } };
    file["platform"]["addresses"].push_back("10.0.0.1:99999");
    file["tasks"] = { { "leaseMs", 1.5 } };
    file["shutdwon"] = Json::object();
    const auto problems = findProblems(file.dump());
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
    // Guards against values that are each in range but in combination lose leases or cause live peers to be suspected.
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
    const auto problems = findProblems(file.dump());
    INFO(relation.patch << "\n" << toText(problems));
    const std::string path = relation.path;
    REQUIRE(problems.size() == (path.empty() ? 0 : 1));
    CHECK((path.empty() || problems.front().path == path));
}

TEST_CASE("no problem shows a secret", "[settings]")
{
    // Guards against logging a secret, or a token given instead of its digest.
    auto file = minimalSettings();
    file["peers"]["secret"] = "hushhush";
    file["operators"]["tokenDigests"] = { "hushhush" };
    CHECK(toText(findProblems(file.dump())).find("hush") == std::string::npos);
    file["peers"]["secretFile"] = "x";
    CHECK(toText(findProblems(file.dump())).find("hush") == std::string::npos);
    const auto truncatedFileProblems = toText(findProblems(R"({"peers":{"secret":"hushhush)"));
    CHECK(truncatedFileProblems.find("hush") == std::string::npos);
    CHECK(truncatedFileProblems.find("line 1, column") != std::string::npos);
}

TEST_CASE("the secret may be read from a file in the folder of the settings", "[settings]")
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
    // The JSON library silently keeps one of two values with the same name, and deep nesting would exhaust the stack.
    const auto duplicateNameProblems = findProblems(R"({"retry":{"budgetPercent":5,"budgetPercent":50}})");
    CHECK(problemAt(duplicateNameProblems, "retry.budgetPercent").message == "is given twice");
    CHECK(findProblems(std::string(100'000, '[')).front().message == "is nested deeper than 32 levels");
}

TEST_CASE("every setting of the example is documented in docs/configuration.md", "[settings]")
{
    // Guards against an undocumented setting.
    const auto page = readTextFile(repositoryPath("docs/configuration.md"), 1 << 20).value_or("");
    const auto text = readTextFile(repositoryPath("examples/settings.json"), 1 << 20).value_or("");
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
    // Guards against a crash, an exception, or a refusal without a problem.
    const auto text = readTextFile(repositoryPath("examples/settings.json"), 1 << 20);
    REQUIRE(text);
    rc::prop("accepted or explained", [&] {
        ValidationProblems problems;
        const auto settings = SettingsLoader::parse(mutated(*text), {}, problems);
        RC_ASSERT(settings.has_value() == problems.empty());
    });
}
