#include "instance/CallerEndpoint.h"

#include "configuration/ConfigurationManager.h"
#include "core/RandomId.h"
#include "http/HttpServer.h"
#include "instance/JobService.h"
#include "instance/OutcomeReply.h"
#include "observability/Metrics.h"
#include "pipeline/Pipeline.h"
#include "pipeline/RequestContext.h"

namespace auburndoor {

namespace {

constexpr Milliseconds overflowRetryAfter { 1000 };

}

CallerEndpoint::CallerEndpoint(Metrics &metrics, ConfigurationManager &configuration, const Pipeline &pipeline, JobService &jobs)
    : metrics_(metrics), configuration_(configuration), pipeline_(pipeline), jobs_(jobs)
{
}

void CallerEndpoint::install(HttpServer &server)
{
    server.route("POST", R"(/v1/services/([^/]+)/requests)", [this](const HttpRequest &request) { return serveRequest(request); });
    server.route("POST", R"(/v1/jobs)", [this](const HttpRequest &request) { return submitJob(request); });
    server.route("GET", R"(/v1/jobs/([^/]+))", [this](const HttpRequest &request) { return showJob(request); });
    server.setOverflowHandler([this](const HttpRequest &) { return refuseOverflow(); });
    server.setErrorHandler([this](const HttpRequest &request, int status) { return replyToError(request, status); });
}

HttpReply CallerEndpoint::serveRequest(const HttpRequest &request)
{
    RequestContext context;
    context.configuration = configuration_.current();
    context.request.id = RequestId(makeRandomId());
    context.call.token = readBearerToken(request);
    context.call.service = request.pathParts.at(0);
    context.call.kind = request.header("request-kind");
    context.call.priority = request.header("request-priority");
    context.call.idempotencyKey = request.header("idempotency-key");
    context.call.timeout = request.header("request-timeout-ms");
    context.call.body = request.body;
    context.call.waited = request.waited;
    const auto outcome = pipeline_.run(context);
    return makeOutcomeReply(outcome, context.request.id);
}

HttpReply CallerEndpoint::submitJob(const HttpRequest &request)
{
    return jobs_.submitForTeam(readBearerToken(request), request.header("idempotency-key"), request.body);
}

HttpReply CallerEndpoint::showJob(const HttpRequest &request)
{
    return jobs_.showForTeam(readBearerToken(request), JobId(request.pathParts.at(0)));
}

HttpReply CallerEndpoint::refuseOverflow()
{
    const Failure failure { FailureStep::Admit, {}, FailureReason::QueueFull, "all connection threads of this instance are busy" };
    metrics_.countRefusal(failure);
    return makeRefusalReply(failure, overflowRetryAfter);
}

HttpReply CallerEndpoint::replyToError(const HttpRequest &request, int status)
{
    Failure failure { FailureStep::Parse, {}, FailureReason::MalformedInput, "the request could not be read" };
    if (status == 404) {
        failure = {
            FailureStep::Parse, {}, FailureReason::UnknownName, "no resource " + request.method + " " + request.path.substr(0, 200)
        };
    } else if (status == 413) {
        failure = { FailureStep::Parse, {}, FailureReason::TooLarge, "the body exceeds the limit of this instance" };
    }
    metrics_.countRefusal(failure);
    return makeRefusalReply(failure);
}

} // namespace auburndoor
