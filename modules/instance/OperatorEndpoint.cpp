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

constexpr long long defaultApplyMs = 10'000;
constexpr long long smallestApplyMs = 100;
constexpr long long largestApplyMs = 3'600'000;
constexpr Milliseconds readTimeout { 5000 };
constexpr std::size_t defaultLogbookLimit = 20;
constexpr std::size_t largestLogbookLimit = 1000;

HttpReply json(int status, const std::string &body)
{
    return { status, body, "application/json", {} };
}

/** A whole number of a query parameter; empty if it is absent or malformed. */
std::optional<long long> numberOf(const std::string &text)
{
    long long number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || number < 0) {
        return std::nullopt;
    }
    return number;
}

/** The time that the operator gives an apply; empty if it is out of range. */
std::optional<Milliseconds> timeoutOf(const HttpRequest &request)
{
    const auto text = request.queryValue("deadline-ms");
    const auto number = text.empty() ? std::optional(defaultApplyMs) : numberOf(text);
    if (!number || *number < smallestApplyMs || *number > largestApplyMs) {
        return std::nullopt;
    }
    return Milliseconds(*number);
}

} // namespace

OperatorEndpoint::OperatorEndpoint(const OperatorEndpointParts &parts) : parts_(parts)
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
        parts_.metrics.countRefusal(failure);
        return json(status, toJson(failure));
    });
}

void OperatorEndpoint::installHealth(HttpServer &server)
{
    server.route("GET", "/health/live", [](const HttpRequest &) { return json(200, R"({"live":true})"); });
    server.route("GET", "/health/ready", [this](const HttpRequest &) {
        const auto reason = parts_.whyNotReady();
        return reason.empty() ? json(200, R"({"ready":true})") : json(503, R"({"ready":false,"reason":")" + reason + "\"}");
    });
    server.route("GET", "/metrics", [this](const HttpRequest &) {
        return HttpReply { 200, parts_.metrics.text(), "text/plain; version=0.0.4", {} };
    });
}

void OperatorEndpoint::installConfiguration(HttpServer &server)
{
    server.route("POST", "/v1/configuration/validate", authenticated([](const HttpRequest &request) { return validate(request); }));
    server.route("POST", "/v1/configuration/plan", authenticated([this](const HttpRequest &request) { return plan(request); }));
    server.route("POST", "/v1/configuration/apply", authenticated([this](const HttpRequest &request) { return apply(request); }));
    server.route("GET", "/v1/configuration", authenticated([this](const HttpRequest &) { return showConfiguration(); }));
    server.route("GET", "/v1/status", authenticated([this](const HttpRequest &) { return showStatus(); }));
    server.route("GET", "/v1/logbook", authenticated([this](const HttpRequest &request) { return showLogbook(request); }));
    server.route("POST", "/v1/drain", authenticated([this](const HttpRequest &) {
                     parts_.drain();
                     return json(202, R"({"draining":true})");
                 }));
}

void OperatorEndpoint::installJobs(HttpServer &server)
{
    server.route("GET", "/v1/jobs", authenticated([this](const HttpRequest &) { return parts_.jobs.list(); }));
    server.route("POST", "/v1/jobs", authenticated([this](const HttpRequest &request) {
                     return parts_.jobs.submit(request.header("idempotency-key"), request.body);
                 }));
    server.route("GET", "/v1/explain/([^/]+)", authenticated([this](const HttpRequest &request) {
                     return parts_.jobs.explain(request.pathParts.at(0));
                 }));
    server.route("POST", "/v1/jobs/([^/]+)/cancel", authenticated([this](const HttpRequest &request) {
                     return parts_.jobs.cancel(JobId(request.pathParts.at(0)));
                 }));
}

OperatorEndpoint::Handler OperatorEndpoint::authenticated(Handler handler)
{
    return [this, handler = std::move(handler)](const HttpRequest &request) {
        const auto digest = Digest::of(bearerToken(request));
        const auto isKnown = std::any_of(parts_.tokenDigests.begin(), parts_.tokenDigests.end(), [&](const std::string &known) {
            return Digest::isEqual(digest, known);
        });
        if (isKnown) {
            return handler(request);
        }
        const Failure failure {
            FailureStep::Authenticate, {}, FailureReason::BadCredentials, "the token is not one of an operator"
        };
        parts_.metrics.countRefusal(failure);
        return json(401, toJson(failure));
    };
}

HttpReply OperatorEndpoint::validate(const HttpRequest &request)
{
    ValidationProblems problems;
    const auto declaration = DeclarationParser::parse(request.body, problems);
    if (!declaration) {
        return json(422, toJson(problems));
    }
    return json(200,
                R"({"services": )" + std::to_string(declaration->services.size()) + R"(, "teams": )"
                    + std::to_string(declaration->teams.size()) + R"(, "jobs": )" + std::to_string(declaration->jobs.size()) + "}");
}

HttpReply OperatorEndpoint::apply(const HttpRequest &request)
{
    const auto operatorName = request.queryValue("operator");
    const auto expectedText = request.queryValue("expected-version");
    const auto expected = numberOf(expectedText);
    const auto timeout = timeoutOf(request);
    if (operatorName.empty() || (!expectedText.empty() && !expected) || !timeout) {
        const Failure failure { FailureStep::Parse,
                                {},
                                FailureReason::OutOfRange,
                                "operator is required; expected-version is a whole number; deadline-ms is 100 to 3600000" };
        parts_.metrics.countRefusal(failure);
        return json(400, toJson(failure));
    }
    Failure failure;
    const auto result = parts_.configuration.apply(request.body, expected, operatorName, parts_.clock.now() + *timeout, failure);
    parts_.metrics.count("applies_total", name(result.status));
    Log::info("apply",
              { { "operator", operatorName }, { "status", name(result.status) }, { "version", std::to_string(result.version) } });
    return json(httpStatus(result.status), toJson(result, failure));
}

HttpReply OperatorEndpoint::plan(const HttpRequest &request)
{
    const auto result = parts_.configuration.plan(request.body);
    return json(httpStatus(result), toJson(result));
}

HttpReply OperatorEndpoint::showConfiguration() const
{
    const auto current = parts_.configuration.current();
    const nlohmann::ordered_json body { { "version", current->version }, { "digest", current->digest }, { "text", current->text } };
    return json(200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

HttpReply OperatorEndpoint::showStatus() const
{
    return json(200,
                StatusReport::text({ parts_.clock.now(),
                                     parts_.whyNotReady(),
                                     parts_.configuration.current()->version,
                                     parts_.members.self(),
                                     parts_.members.liveMembers(),
                                     parts_.ownership.ownedShards(),
                                     parts_.ledger.workers() }));
}

HttpReply OperatorEndpoint::showLogbook(const HttpRequest &request)
{
    const auto wanted = numberOf(request.queryValue("limit"));
    const auto limit = wanted ? std::min(static_cast<std::size_t>(*wanted), largestLogbookLimit) : defaultLogbookLimit;
    Failure failure;
    const auto entries = parts_.configuration.logbook(limit, parts_.clock.now() + readTimeout, failure);
    return entries ? json(200, toJson(*entries)) : json(503, toJson(failure));
}

} // namespace auburndoor
