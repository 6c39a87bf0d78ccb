#include "client/OperatorClient.h"
#include "client/OperatorCommand.h"
#include "client/StandInServer.h"
#include "client/TextRenderer.h"
#include "configuration/ApplyResult.h"
#include "core/Failure.h"
#include "core/RandomId.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace auburndoor;

namespace {

/** A temporary folder with a valid and an invalid file and a valid and an invalid token; the destructor removes it. */
struct TemporaryFiles
{
    TemporaryFiles() : folder(std::filesystem::temp_directory_path() / ("auburndoor-client-" + makeRandomId()))
    {
        std::filesystem::create_directories(folder);
        std::ofstream(folder / "valid.json") << R"({"services":{"a":{"need":{"milliCores":1,"memoryMiB":1}}}})";
        std::ofstream(folder / "invalid.json") << R"({"services":{"a":{}}})";
        std::ofstream(folder / "token") << "operator-token\n";
        std::ofstream(folder / "broken-token") << "operator\r\nX-Other: 1";
    }

    ~TemporaryFiles()
    {
        std::filesystem::remove_all(folder);
    }

    std::string path(const std::string &name) const
    {
        return (folder / name).string();
    }

    std::filesystem::path folder;
};

struct CommandResult
{
    int code = 0;
    std::string output;
    std::string errors;
};

CommandResult run(const OperatorOptions &options, const std::string &subcommand, const std::vector<std::string> &arguments)
{
    std::ostringstream output;
    std::ostringstream errors;
    OperatorCommand command(options, output, errors);
    const auto code = command.run(subcommand, arguments);
    return { static_cast<int>(code), output.str(), errors.str() };
}

OperatorOptions optionsFor(const std::string &server)
{
    OperatorOptions options;
    options.server = server;
    options.operatorName = "ana";
    options.timeout = Milliseconds(3000);
    return options;
}

std::string acceptedReply(bool isConfirmed)
{
    ApplyResult result;
    result.status = ApplyStatus::Accepted;
    result.version = 4;
    if (!isConfirmed) {
        result.unconfirmed.emplace_back("entry-2");
    }
    return toJson(result, {});
}

} // namespace

TEST_CASE("each reply status maps to its exit code", "[client]")
{
    // Guards against a script that applies again because an unknown outcome looks like a refusal, or takes a refusal for a success.
    struct Case
    {
        const char *subcommand;
        int status;
        std::string body;
        int code;
    };
    const TemporaryFiles files;
    const auto entry = GENERATE(Case { "apply", 200, acceptedReply(true), 0 },
                                Case { "apply", 200, acceptedReply(false), 7 },
                                Case { "apply", 200, "{\"status\":\"acc", 6 },
                                Case { "apply", 200, "{}", 6 },
                                Case { "apply", 400, "{}", 2 },
                                Case { "apply", 401, "{}", 4 },
                                Case { "apply", 409, "{}", 3 },
                                Case { "apply", 413, "", 2 },
                                Case { "apply", 422, "{}", 2 },
                                Case { "apply", 500, "{}", 6 },
                                Case { "apply", 503, "", 4 },
                                Case { "apply", 504, "{}", 6 },
                                Case { "plan", 200, "{}", 0 },
                                Case { "plan", 500, "{}", 4 },
                                Case { "plan", 504, "{}", 4 },
                                Case { "submit", 422, "{}", 2 },
                                Case { "submit", 202, "{\"id\":\"j\"}", 0 },
                                Case { "submit", 504, "{}", 6 },
                                Case { "status", 200, "not JSON", 4 },
                                Case { "cancel", 404, "{}", 4 },
                                Case { "cancel", 500, "{}", 6 },
                                Case { "drain", 202, "{}", 0 },
                                Case { "explain", 404, "{}", 4 });
    FixedReplyServer server(entry.status, entry.body);
    const std::string subcommand = entry.subcommand;
    std::vector<std::string> arguments;
    if (subcommand == "apply" || subcommand == "plan" || subcommand == "submit") {
        arguments.push_back(files.path("valid.json"));
    } else if (subcommand == "cancel" || subcommand == "explain") {
        arguments.emplace_back("some-id");
    }
    const auto result = run(optionsFor(server.address), subcommand, arguments);
    INFO(subcommand << " " << entry.status << " " << entry.body << "\n" << result.errors);
    CHECK(result.code == entry.code);
}

TEST_CASE("requests carry the token, the query and the file", "[client]")
{
    const TemporaryFiles files;
    FixedReplyServer server(200, acceptedReply(true));
    auto options = optionsFor(server.address);
    options.tokenFile = files.path("token");
    options.expectedVersion = 3;
    const auto applied = run(options, "apply", { files.path("valid.json") });
    CHECK(applied.output.find("version: 4") != std::string::npos);
    CHECK(server.request.path == "/v1/configuration/apply");
    CHECK(server.request.header("authorization") == "Bearer operator-token");
    CHECK(server.request.queryValue("operator") == "ana");
    CHECK(server.request.queryValue("expected-version") == "3");
    CHECK(server.request.queryValue("deadline-ms") == "3000");
    CHECK(server.request.body.find("milliCores") != std::string::npos);
    run(options, "explain", { "a/b c" });
    CHECK(server.request.path == "/v1/explain/a/b c");
    run(options, "logbook", {});
    CHECK(server.request.queryValue("limit") == "20");
    run(options, "submit", { files.path("valid.json") });
    CHECK(server.request.header("idempotency-key").size() == 32);
    options.isJson = true;
    options.key = "key-1";
    const auto submitted = run(options, "submit", { files.path("valid.json") });
    CHECK(server.request.header("idempotency-key") == "key-1");
    CHECK(nlohmann::json::parse(submitted.output).at("version") == 4);
    CHECK(OperatorClient::escape("a/b?c=ä") == "a%2Fb%3Fc%3D%C3%A4");
}

TEST_CASE("an exchange that fails is unreachable, or unknown if the command may have arrived", "[client]")
{
    // Guards against reporting "unreachable" for a file that has been applied.
    const TemporaryFiles files;
    const std::vector<std::string> file { files.path("valid.json") };
    CHECK(run(optionsFor(unusedAddress()), "apply", file).code == 5);
    CHECK(run(optionsFor(unusedAddress()), "status", {}).code == 5);
    {
        const ClosingServer server;
        CHECK(run(optionsFor(server.address), "apply", file).code == 6);
    }
    {
        const ClosingServer server;
        CHECK(run(optionsFor(server.address), "plan", file).code == 5);
    }
}

TEST_CASE("wrong usage is found before anything is sent", "[client]")
{
    const TemporaryFiles files;
    auto options = optionsFor(unusedAddress());
    const std::vector<std::string> file { files.path("valid.json") };
    CHECK(run(options, "aply", file).code == 1);
    CHECK(run(options, "apply", {}).code == 1);
    CHECK(run(options, "status", file).code == 1);
    CHECK(run(options, "apply", { files.path("missing.json") }).code == 1);
    options.tokenFile = files.path("broken-token");
    CHECK(run(options, "status", {}).code == 1);
    options = optionsFor("localhost:80");
    CHECK(run(options, "status", {}).code == 1);
    options = optionsFor(unusedAddress());
    options.operatorName = "ana maria";
    CHECK(run(options, "apply", file).code == 1);
    options.limit = 0;
    CHECK(run(options, "logbook", {}).code == 1);
}

TEST_CASE("validate without a server checks the file locally", "[client]")
{
    const TemporaryFiles files;
    CHECK(run({}, "validate", { files.path("valid.json") }).code == 0);
    const auto result = run({}, "validate", { files.path("invalid.json") });
    CHECK(result.code == 2);
    CHECK(result.errors
          == "services.a.need: is missing\n"
             "services.a.need.milliCores: is missing\n"
             "services.a.need.memoryMiB: is missing\n");
}

TEST_CASE("every subcommand has its help, and the help lists the exit codes", "[client]")
{
    for (const auto *name : { "validate", "plan", "apply", "status", "jobs", "explain", "cancel", "drain", "logbook", "submit" }) {
        CHECK(OperatorCommand::usage().find(name) != std::string::npos);
        CHECK(OperatorCommand::usage(name).find("7 accepted, but not confirmed") != std::string::npos);
    }
    CHECK(OperatorCommand::usage("other").empty());
}

TEST_CASE("text output aligns tables and replaces control characters", "[client]")
{
    // Guards against a name from the network that sends escape sequences to the operator's terminal.
    const auto value = nlohmann::ordered_json::parse(
        R"({"version":3,"jobs":[{"id":"a\u001b[2J","state":"running"},{"id":"long-id"}],"empty":[],"inner":{"list":["x"]}})");
    CHECK(renderText(value)
          == "version: 3\n"
             "jobs:\n"
             "  id       state\n"
             "  a?[2J    running\n"
             "  long-id  -\n"
             "empty: []\n"
             "inner:\n"
             "  list:\n"
             "    - x\n");
}
