#pragma once

#include "core/Clock.h"
#include "http/HttpMessage.h"

#include <functional>
#include <string>
#include <vector>

namespace auburndoor {

class CapacityLedger;
class ConfigurationManager;
class HttpServer;
class JobService;
class MembershipView;
class Metrics;
class OwnershipManager;

/** The objects that OperatorEndpoint uses. */
struct OperatorEndpointDependencies
{
    Clock &clock;
    Metrics &metrics;
    ConfigurationManager &configuration;
    MembershipView &members;
    OwnershipManager &ownership;
    CapacityLedger &ledger;
    JobService &jobs;
    /** The SHA-256 digest of each accepted operator token. */
    std::vector<std::string> tokenDigests;
    /** Returns why the instance does not serve callers; empty if it serves them. */
    std::function<std::string()> notReadyReason;
    /** Called when an operator asks the instance to drain. Begins a graceful shutdown. */
    std::function<void()> onDrainRequested;
};

/** Serves the HTTP interface for operators, with health checks, metrics and status. docs/protocols/operators.md describes the
 * protocol. */
class OperatorEndpoint
{
public:
    explicit OperatorEndpoint(const OperatorEndpointDependencies &dependencies);

    /** Adds the routes and the error handler to a server that has not been started. */
    void install(HttpServer &server);

private:
    using Handler = std::function<HttpReply(const HttpRequest &)>;

    void installHealth(HttpServer &server);
    void installConfiguration(HttpServer &server);
    void installJobs(HttpServer &server);
    /** Wraps a handler so that requests without an accepted operator token are refused with status 401. */
    Handler requireOperatorToken(Handler handler);
    static HttpReply validate(const HttpRequest &request);
    HttpReply apply(const HttpRequest &request);
    HttpReply plan(const HttpRequest &request);
    HttpReply showConfiguration() const;
    HttpReply showStatus() const;
    HttpReply showLogbook(const HttpRequest &request);

    OperatorEndpointDependencies dependencies_;
};

} // namespace auburndoor
