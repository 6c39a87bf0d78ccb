#include "client/OperatorCommand.h"
#include "configuration/Cell.h"
#include "core/Failure.h"
#include "core/RandomId.h"
#include "http/HttpServer.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace auburndoor;

namespace {

/** Serves the configuration part of docs/protocols/operators.md over a manager of a cell, on a loopback port. */
std::string serve(HttpServer &server, Cell &cell)
{
    server.route("POST", "/v1/configuration/apply", [&cell](const HttpRequest &request) {
        const auto expected = request.queryValue("expected-version");
        Failure failure;
        const auto result = cell.manager(0).apply(request.body,
                                                  expected.empty() ? std::optional<long long>() : std::stoll(expected),
                                                  request.queryValue("operator"),
                                                  cell.deadline(),
                                                  failure);
        return HttpReply { httpStatus(result.status), toJson(result, failure), "application/json", {} };
    });
    server.route("POST", "/v1/configuration/plan", [&cell](const HttpRequest &request) {
        const auto result = cell.manager(0).plan(request.body);
        return HttpReply { httpStatus(result), toJson(result), "application/json", {} };
    });
    Failure failure;
    const auto port = server.bind(failure);
    server.start();
    return "127.0.0.1:" + std::to_string(port.value());
}

} // namespace

TEST_CASE("the command line and a manager agree on every outcome of an apply", "[configuration]")
{
    // Guards against an exit code that does not say what happened to the file.
    Cell cell(2);
    HttpServer server { HttpServerOptions {} };
    OperatorOptions options;
    options.server = serve(server, cell);
    options.operatorName = "ana";
    const auto fileName = (std::filesystem::temp_directory_path() / ("auburndoor-" + makeRandomId())).string();
    std::ostringstream output;
    const auto execute = [&](const std::string &subcommand, const std::string &text) {
        std::ofstream(fileName) << text;
        return OperatorCommand(options, output, output).run(subcommand, { fileName });
    };
    CHECK(execute("apply", fileOf(1)) == ExitCode::Done);
    CHECK(execute("plan", fileOf(2)) == ExitCode::Done);
    CHECK(output.str().find("changed services.namedesk.queueLimit: 2 -> 3") != std::string::npos);
    CHECK(execute("plan", "{") == ExitCode::InvalidFile);
    CHECK(execute("apply", "{\"team\":{}}") == ExitCode::InvalidFile);
    options.expectedVersion = 0;
    CHECK(execute("apply", fileOf(2)) == ExitCode::Conflict);
    options.expectedVersion.reset();
    cell.announcers[0]->isCut = true;
    CHECK(execute("apply", fileOf(2)) == ExitCode::NotConfirmed);
    cell.table.loseAnswers(1);
    cell.faultyTable.afterCommit = [&] { cell.table.setDown(true); };
    CHECK(execute("apply", fileOf(3)) == ExitCode::OutcomeUnknown);
    CHECK(execute("apply", fileOf(4)) == ExitCode::Refused);
    std::filesystem::remove(fileName);
}
