#include "instance/OperatorEndpoint.h"

#include "configuration/ConfigurationManager.h"
#include "core/Failure.h"
#include "declaration/DeclarationParser.h"
#include "declaration/Digest.h"
#include "http/HttpServer.h"
#include "instance/JobService.h"
#include "instance/OutcomeReply.h"
#include "instance/StatusReport.h"
#include "membership/MembershipView.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "ownership/OwnershipManager.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace auburndoor {

namespace {

constexpr long long defaultApplyTimeoutMs = 10'000;
constexpr long long minApplyTimeoutMs = 100;
constexpr long long maxApplyTimeoutMs = 3'600'000;
constexpr Milliseconds logbookReadTimeout { 5000 };
constexpr std::size_t defaultLogbookLimit = 20;
constexpr std::size_t maxLogbookLimit = 1000;

HttpReply makeJsonReply(int status, const std::string &body)
{
    return { status, body, "application/json", {} };
}

/** Parses a query parameter as a whole number of at least 0; empty if it is absent or malformed. */
std::optional<long long> parseWholeNumber(const std::string &text)
{
    long long number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || number < 0) {
        return std::nullopt;
    }
    return number;
}

/** Reads the time limit of an apply, or its default if the request has none; empty if it is malformed or out of range. */
std::optional<Milliseconds> parseApplyTimeout(const HttpRequest &request)
{
    const auto text = request.queryValue("deadline-ms");
    const auto number = text.empty() ? std::optional(defaultApplyTimeoutMs) : parseWholeNumber(text);
    if (!number || *number < minApplyTimeoutMs || *number > maxApplyTimeoutMs) {
        return std::nullopt;
    }
    return Milliseconds(*number);
}

} // namespace

OperatorEndpoint::OperatorEndpoint(const OperatorEndpointDependencies &dependencies) : dependencies_(dependencies)
{
}

void OperatorEndpoint::install(HttpServer &server)
{
    installHealth(server);
    installConfiguration(server);
    installJobs(server);
    server.setErrorHandler([this](const HttpRequest &request, int status) {
        const Failure failure { FailureStep::Parse,
                                {},
                                status == 413 ? FailureReason::TooLarge : FailureReason::UnknownName,
                                request.method + " " + request.path.substr(0, 200) };
        dependencies_.metrics.countRefusal(failure);
        return makeJsonReply(status, toJson(failure));
    });
}

void OperatorEndpoint::installHealth(HttpServer &server)
{
    server.route("GET", "/health/live", [](const HttpRequest &) { return makeJsonReply(200, R"({"live":true})"); });
    server.route("GET", "/health/ready", [this](const HttpRequest &) {
        const auto reason = dependencies_.notReadyReason();
        return reason.empty() ? makeJsonReply(200, R"({"ready":true})")
                              : makeJsonReply(503, R"({"ready":false,"reason":")" + reason + "\"}");
    });
    server.route("GET", "/metrics", [this](const HttpRequest &) {
        return HttpReply { 200, dependencies_.metrics.text(), "text/plain; version=0.0.4", {} };
    });
}

void OperatorEndpoint::installConfiguration(HttpServer &server)
{
    server.route(
        "POST", "/v1/configuration/validate", requireOperatorToken([](const HttpRequest &request) { return validate(request); }));
    server.route(
        "POST", "/v1/configuration/plan", requireOperatorToken([this](const HttpRequest &request) { return plan(request); }));
    server.route(
        "POST", "/v1/configuration/apply", requireOperatorToken([this](const HttpRequest &request) { return apply(request); }));
    server.route("GET", "/v1/configuration", requireOperatorToken([this](const HttpRequest &) { return showConfiguration(); }));
    server.route("GET", "/v1/status", requireOperatorToken([this](const HttpRequest &) { return showStatus(); }));
    server.route("GET", "/v1/logbook", requireOperatorToken([this](const HttpRequest &request) { return showLogbook(request); }));
    server.route("POST", "/v1/drain", requireOperatorToken([this](const HttpRequest &) {
                     dependencies_.onDrainRequested();
                     return makeJsonReply(202, R"({"draining":true})");
                 }));
}

void OperatorEndpoint::installJobs(HttpServer &server)
{
    server.route("GET", "/v1/jobs", requireOperatorToken([this](const HttpRequest &) { return dependencies_.jobs.list(); }));
    server.route("POST", "/v1/jobs", requireOperatorToken([this](const HttpRequest &request) {
                     return dependencies_.jobs.submit(request.header("idempotency-key"), request.body);
                 }));
    server.route("GET", "/v1/explain/([^/]+)", requireOperatorToken([this](const HttpRequest &request) {
                     return dependencies_.jobs.explain(request.pathParts.at(0));
                 }));
    server.route("POST", "/v1/jobs/([^/]+)/cancel", requireOperatorToken([this](const HttpRequest &request) {
                     return dependencies_.jobs.cancel(JobId(request.pathParts.at(0)));
                 }));
}

OperatorEndpoint::Handler OperatorEndpoint::requireOperatorToken(Handler handler)
{
    return [this, handler = std::move(handler)](const HttpRequest &request) {
        const auto digest = Digest::of(readBearerToken(request));
        const auto isOperator = std::any_of(
            dependencies_.tokenDigests.begin(), dependencies_.tokenDigests.end(), [&](const std::string &acceptedDigest) {
                return Digest::isEqual(digest, acceptedDigest);
            });
        if (isOperator) {
            return handler(request);
        }
        const Failure failure {
            FailureStep::Authenticate, {}, FailureReason::BadCredentials, "the token is not one of an operator"
        };
        dependencies_.metrics.countRefusal(failure);
        return makeJsonReply(401, toJson(failure));
    };
}

HttpReply OperatorEndpoint::validate(const HttpRequest &request)
{
    ValidationProblems problems;
    const auto declaration = DeclarationParser::parse(request.body, problems);
    if (!declaration) {
        return makeJsonReply(422, toJson(problems));
    }
    return makeJsonReply(200,
                         R"({"services": )" + std::to_string(declaration->services.size()) + R"(, "teams": )"
                             + std::to_string(declaration->teams.size()) + R"(, "jobs": )"
                             + std::to_string(declaration->jobs.size()) + "}");
}

HttpReply OperatorEndpoint::apply(const HttpRequest &request)
{
    const auto operatorName = request.queryValue("operator");
    const auto expectedText = request.queryValue("expected-version");
    const auto expected = parseWholeNumber(expectedText);
    const auto timeout = parseApplyTimeout(request);
    if (operatorName.empty() || (!expectedText.empty() && !expected) || !timeout) {
        const Failure failure { FailureStep::Parse,
                                {},
                                FailureReason::OutOfRange,
                                "operator is required; expected-version is a whole number; deadline-ms is 100 to 3600000" };
        dependencies_.metrics.countRefusal(failure);
        return makeJsonReply(400, toJson(failure));
    }
    Failure failure;
    const auto result = dependencies_.configuration.apply(
        request.body, expected, operatorName, dependencies_.clock.now() + *timeout, failure);
    dependencies_.metrics.count("applies_total", name(result.status));
    Log::info("apply",
              { { "operator", operatorName }, { "status", name(result.status) }, { "version", std::to_string(result.version) } });
    return makeJsonReply(httpStatus(result.status), toJson(result, failure));
}

HttpReply OperatorEndpoint::plan(const HttpRequest &request)
{
    const auto result = dependencies_.configuration.plan(request.body);
    return makeJsonReply(httpStatus(result), toJson(result));
}

HttpReply OperatorEndpoint::showConfiguration() const
{
    const auto current = dependencies_.configuration.current();
    const nlohmann::ordered_json body { { "version", current->version }, { "digest", current->digest }, { "text", current->text } };
    return makeJsonReply(200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

HttpReply OperatorEndpoint::showStatus() const
{
    return makeJsonReply(200,
                         StatusReport::text({ dependencies_.clock.now(),
                                              dependencies_.notReadyReason(),
                                              dependencies_.configuration.current()->version,
                                              dependencies_.members.self(),
                                              dependencies_.members.liveMembers(),
                                              dependencies_.ownership.ownedShards(),
                                              dependencies_.ledger.workers() }));
}

HttpReply OperatorEndpoint::showLogbook(const HttpRequest &request)
{
    const auto requestedLimit = parseWholeNumber(request.queryValue("limit"));
    const auto limit = requestedLimit ? std::min(static_cast<std::size_t>(*requestedLimit), maxLogbookLimit) : defaultLogbookLimit;
    Failure failure;
    const auto entries = dependencies_.configuration.logbook(limit, dependencies_.clock.now() + logbookReadTimeout, failure);
    return entries ? makeJsonReply(200, toJson(*entries)) : makeJsonReply(503, toJson(failure));
}

} // namespace auburndoor
