#include "core/TextFile.h"
#include "declaration/DeclarationDiff.h"
#include "declaration/DeclarationParser.h"
#include "declaration/DeclarationWriter.h"
#include "declaration/Digest.h"
#include "fakes/Mutation.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace auburndoor;
using Json = nlohmann::json;

namespace {

std::string readRepositoryFile(const std::string &name)
{
    const auto path = std::filesystem::path(__FILE__).parent_path() / "../.." / name;
    return readTextFile(path.string(), DeclarationParser::maximumFileBytes).value_or("");
}

std::string readExample(const std::string &name)
{
    return readRepositoryFile("examples/" + name);
}

Json parseExample()
{
    return Json::parse(readExample("blue-mahoe.json"), nullptr, true, true);
}

Declaration parseValid(const std::string &text)
{
    ValidationProblems problems;
    const auto declaration = DeclarationParser::parse(text, problems);
    INFO(toText(problems));
    REQUIRE(declaration);
    return *declaration;
}

ValidationProblems parseInvalid(const std::string &text)
{
    ValidationProblems problems;
    CHECK_FALSE(DeclarationParser::parse(text, problems));
    CHECK_FALSE(problems.empty());
    return problems;
}

} // namespace

TEST_CASE("the example files are valid and their values are read", "[declaration]")
{
    parseValid(readExample("asociacion.json"));
    const auto declaration = parseValid(readExample("blue-mahoe.json"));
    const auto &service = declaration.services.at(ServiceId("namedesk"));
    CHECK(service.need == Resources { 4000, 12'288, 0, 1, 8 });
    CHECK(service.priority == Priority::Urgent);
    CHECK(service.nonRepeatableKinds == std::vector<std::string> { "vetting" });
    CHECK(service.defaultDeadline == Milliseconds(2000));
    CHECK(declaration.teams.at(TeamId("studio")).quota.accelerators == 64);
    const auto &job = declaration.jobs.at(JobId("voice-model-training"));
    CHECK(job.kind == JobKind::Gang);
    CHECK(job.taskCount == 8);
}

TEST_CASE("an absent need and priority of a job are those of its service", "[declaration]")
{
    const auto declaration = parseValid(readExample("asociacion.json"));
    const auto &job = declaration.jobs.at(JobId("catalogue-previews"));
    CHECK(job.need == declaration.services.at(ServiceId("vitrina")).need);
    auto changed = Json::parse(readExample("asociacion.json"), nullptr, true, true);
    changed["jobs"]["catalogue-previews"].erase("priority");
    changed["services"]["vitrina"]["priority"] = "urgent";
    CHECK(parseValid(changed.dump()).jobs.at(JobId("catalogue-previews")).priority == Priority::Urgent);
}

TEST_CASE("unknown, missing, malformed and contradictory fields are reported together with their paths", "[declaration]")
{
    // Guards against a parser that stops at the first problem or accepts a contradictory file.
    struct Case
    {
        const char *patch;
        const char *path;
        const char *message;
    };
    const std::vector<Case> cases {
        { R"({"service":{}})", "service", "did you mean \"services\"" },
        { R"({"services":{"namedesk":{"queueLimits":1}}})", "services.namedesk.queueLimits", "did you mean \"queueLimit\"" },
        { R"({"services":{"namedesk":{"need":{"memoryMiB":null}}}})", "services.namedesk.need.memoryMiB", "is missing" },
        { R"({"services":{"namestudio":{"need":{"slots":0}}}})", "services.namestudio.need.slots", "from 1 to 1024" },
        { R"({"services":{"namedesk":{"defaultDeadlineMs":120001}}})",
          "services.namedesk.defaultDeadlineMs",
          "at most the maximum" },
        { R"({"services":{"namestudio":{"longWorkMs":600001}}})", "services.namestudio.longWorkMs", "no work would count as long" },
        { R"({"services":{"namedesk":{"nonRepeatableKinds":["a","a"]}}})",
          "services.namedesk.nonRepeatableKinds[1]",
          "given twice" },
        { R"({"services":{"namestudio":{"repeatable":"yes"}}})", "services.namestudio.repeatable", "true or false" },
        { R"({"teams":{"studio":{"weight":0}}})", "teams.studio.weight", "from 1 to 1000" },
        { R"({"teams":{"bad/name":{"tokenDigest":"x"}}})", "teams.bad/name", "the name must be" },
        { R"({"jobs":{"register-screening":{"team":"trademark"}}})",
          "jobs.register-screening.team",
          "did you mean \"trademarks\"" },
        { R"({"jobs":{"voice-model-training":{"service":"nowhere"}}})", "jobs.voice-model-training.service", "names no service" },
    };
    auto file = parseExample();
    for (const auto &entry : cases) {
        file.merge_patch(Json::parse(entry.patch));
    }
    const auto problems = parseInvalid(file.dump());
    const auto text = toText(problems);
    for (const auto &entry : cases) {
        const auto found = std::find_if(problems.begin(), problems.end(), [&](const auto &problem) {
            return problem.path == entry.path && problem.message.find(entry.message) != std::string::npos;
        });
        INFO(entry.path << ": " << entry.message << "\n" << text);
        CHECK(found != problems.end());
    }
    // The additional problem is the malformed digest of the team with the invalid name.
    CHECK(problems.size() == cases.size() + 1);
}

TEST_CASE("contradictions between items are refused", "[declaration]")
{
    // Guards against a token that identifies two teams, and against jobs that wait forever because they exceed their team's quota.
    struct Case
    {
        const char *patch;
        const char *path;
    };
    const auto entry = GENERATE(
        Case { R"({"teams":{"studio":{"quota":{"accelerators":15}}}})", "jobs.voice-model-training.need.accelerators" },
        Case { R"({"teams":{"trademarks":{"quota":{"milliCores":1999}}}})", "jobs.register-screening.need.milliCores" },
        Case { R"({"jobs":{"voice-model-training":{"taskCount":1}}})", "jobs.voice-model-training.taskCount" });
    auto file = parseExample();
    file.merge_patch(Json::parse(entry.patch));
    const auto problems = parseInvalid(file.dump());
    INFO(toText(problems));
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().path == entry.path);

    auto duplicateTokenFile = parseExample();
    duplicateTokenFile["teams"]["studio"]["tokenDigest"] = duplicateTokenFile["teams"]["shortlists"]["tokenDigest"];
    const auto duplicateTokenProblems = parseInvalid(duplicateTokenFile.dump());
    CHECK(duplicateTokenProblems.front().path == "teams.studio.tokenDigest");
}

TEST_CASE("limits on size, counts and listed problems hold", "[declaration]")
{
    // Guards against files larger than the instances are designed to store and compare.
    CHECK(parseInvalid(std::string(DeclarationParser::maximumFileBytes + 1, ' ')).front().message
          == "is larger than 1048576 bytes");
    Json file { { "services", Json::object() } };
    for (std::size_t index = 0; index <= DeclarationParser::maximumServices; ++index) {
        file["services"]["s" + std::to_string(index)] = { { "need", { { "milliCores", 1 }, { "memoryMiB", 1 } } } };
    }
    CHECK(parseInvalid(file.dump()).front().message == "must be an object with at most 256 entries");
    Json manyProblemsFile { { "jobs", Json::object() } };
    for (int index = 0; index < 1000; ++index) {
        manyProblemsFile["jobs"]["j" + std::to_string(index)] = Json::object();
    }
    CHECK(parseInvalid(manyProblemsFile.dump()).size() == DeclarationParser::maximumListedProblems + 1);
}

TEST_CASE("a submitted job is checked against the declaration in force", "[declaration]")
{
    const auto declaration = parseValid(readExample("blue-mahoe.json"));
    ValidationProblems problems;
    const auto job = DeclarationParser::parseJob(
        JobId("key-1"), R"({"kind":"batch","team":"studio","service":"namestudio","taskCount":3})", declaration, problems);
    INFO(toText(problems));
    REQUIRE(job);
    CHECK(job->id == JobId("key-1"));
    CHECK(job->need.accelerators == 1);
    const auto again = DeclarationParser::parseJob(JobId("key-1"), DeclarationWriter::write(*job), declaration, problems);
    REQUIRE(again);
    CHECK(DeclarationWriter::write(*again) == DeclarationWriter::write(*job));
    CHECK_FALSE(DeclarationParser::parseJob(
        JobId("key-2"), R"({"kind":"gang","team":"nobody","service":"namestudio","id":"x"})", declaration, problems));
    CHECK(problems.size() == 3);
}

TEST_CASE("differences are typed, named by path, and do not show token digests", "[declaration]")
{
    const auto from = parseValid(readExample("blue-mahoe.json"));
    auto to = from;
    to.services.at(ServiceId("namedesk")).queueLimit = 500;
    to.services.at(ServiceId("namedesk")).need.memoryMiB = 16'384;
    to.teams.at(TeamId("studio")).tokenDigest = std::string(64, 'f');
    to.jobs.erase(JobId("register-screening"));
    to.jobs[JobId("night")] = from.jobs.at(JobId("voice-model-training"));
    const auto changes = DeclarationDiff::compare(from, to);
    CHECK(toText(changes)
          == "changed services.namedesk.need.memoryMiB: 12288 -> 16384\n"
             "changed services.namedesk.queueLimit: 2000 -> 500\n"
             "changed teams.studio.tokenDigest\n"
             "added jobs.night\n"
             "removed jobs.register-screening\n");
    CHECK(changes[1] == DeclarationChange { ChangeKind::Changed, "services.namedesk.queueLimit", "2000", "500" });
    CHECK(toJson(changes).find(std::string(64, 'f')) == std::string::npos);
    CHECK(DeclarationDiff::compare(from, from).empty());
}

TEST_CASE("the digest is SHA-256 in lower-case hexadecimal digits", "[declaration]")
{
    // The known answer is that of FIPS 180-2, appendix B.1.
    const auto digest = Digest::of("abc");
    CHECK(digest == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(Digest::isWellFormed(digest));
    CHECK_FALSE(Digest::isWellFormed(digest.substr(1)));
    CHECK_FALSE(Digest::isWellFormed("BA" + digest.substr(2)));
    CHECK(Digest::isEqual(digest, Digest::of("abc")));
    CHECK_FALSE(Digest::isEqual(digest, Digest::of("abd")));
    CHECK_FALSE(Digest::isEqual(digest, digest.substr(1)));
}

TEST_CASE("every field of the file is documented in docs/configuration.md", "[declaration]")
{
    // Guards against an undocumented field.
    const auto page = readRepositoryFile("docs/configuration.md");
    const auto value = Json::parse(DeclarationWriter::write(parseValid(readExample("blue-mahoe.json"))));
    for (const auto &section : value.items()) {
        const auto &item = *section.value().begin();
        for (const auto &field : item.items()) {
            INFO(section.key() << "." << field.key());
            CHECK(page.find("| `" + section.key() + ".NAME." + field.key()) != std::string::npos);
        }
    }
}

TEST_CASE("any mutation of a valid file is refused with a problem, or accepted and written back unchanged", "[declaration]")
{
    // Guards against a crash, a refusal without a problem, and a field that the writer or the comparison omits.
    const auto name = GENERATE("blue-mahoe.json", "asociacion.json");
    const auto text = readExample(name);
    rc::prop("accepted or explained", [&] {
        ValidationProblems problems;
        const auto declaration = DeclarationParser::parse(mutated(text), problems);
        RC_ASSERT(declaration.has_value() == problems.empty());
        RC_CLASSIFY(declaration.has_value(), "accepted");
        if (declaration) {
            const auto again = DeclarationParser::parse(DeclarationWriter::write(*declaration), problems);
            RC_ASSERT(again.has_value());
            RC_ASSERT(DeclarationDiff::compare(*declaration, *again).empty());
        }
    });
}
