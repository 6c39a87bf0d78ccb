#include "client/OperatorCommand.h"
#include "configuration/ManagerCluster.h"
#include "core/Failure.h"
#include "core/RandomId.h"
#include "http/HttpServer.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace auburndoor;

namespace {

/** Serves apply and plan of docs/protocols/operators.md with the first manager. @return the server's loopback address */
std::string serve(HttpServer &server, ManagerCluster &cluster)
{
    server.route("POST", "/v1/configuration/apply", [&cluster](const HttpRequest &request) {
        const auto expected = request.queryValue("expected-version");
        Failure failure;
        const auto result = cluster.manager(0).apply(request.body,
                                                     expected.empty() ? std::optional<long long>() : std::stoll(expected),
                                                     request.queryValue("operator"),
                                                     cluster.deadline(),
                                                     failure);
        return HttpReply { httpStatus(result.status), toJson(result, failure), "application/json", {} };
    });
    server.route("POST", "/v1/configuration/plan", [&cluster](const HttpRequest &request) {
        const auto result = cluster.manager(0).plan(request.body);
        return HttpReply { httpStatus(result), toJson(result), "application/json", {} };
    });
    Failure failure;
    const auto port = server.bind(failure);
    server.start();
    return "127.0.0.1:" + std::to_string(port.value());
}

} // namespace

TEST_CASE("the command line has the exit code of each outcome of an apply or a plan", "[configuration]")
{
    // Guards against an exit code that does not match the outcome at the manager.
    ManagerCluster cluster(2);
    HttpServer server { HttpServerOptions {} };
    OperatorOptions options;
    options.server = serve(server, cluster);
    options.operatorName = "ana";
    const auto fileName = (std::filesystem::temp_directory_path() / ("auburndoor-" + makeRandomId())).string();
    std::ostringstream output;
    const auto execute = [&](const std::string &subcommand, const std::string &text) {
        std::ofstream(fileName) << text;
        return OperatorCommand(options, output, output).run(subcommand, { fileName });
    };
    CHECK(execute("apply", makeFileText(1)) == ExitCode::Done);
    CHECK(execute("plan", makeFileText(2)) == ExitCode::Done);
    CHECK(output.str().find("changed services.namedesk.queueLimit: 2 -> 3") != std::string::npos);
    CHECK(execute("plan", "{") == ExitCode::InvalidFile);
    CHECK(execute("apply", "{\"team\":{}}") == ExitCode::InvalidFile);
    options.expectedVersion = 0;
    CHECK(execute("apply", makeFileText(2)) == ExitCode::Conflict);
    options.expectedVersion.reset();
    cluster.announcers[0]->isDisconnected = true;
    CHECK(execute("apply", makeFileText(2)) == ExitCode::NotConfirmed);
    cluster.table.loseAnswers(1);
    cluster.faultInjectingTable.afterCommit = [&] { cluster.table.setDown(true); };
    CHECK(execute("apply", makeFileText(3)) == ExitCode::OutcomeUnknown);
    CHECK(execute("apply", makeFileText(4)) == ExitCode::Refused);
    std::filesystem::remove(fileName);
}
