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

/** The parts of an instance that operators see. */
struct OperatorEndpointParts
{
    Clock &clock;
    Metrics &metrics;
    ConfigurationManager &configuration;
    MembershipView &members;
    OwnershipManager &ownership;
    CapacityLedger &ledger;
    JobService &jobs;
    /** SHA-256 of each accepted token. */
    std::vector<std::string> tokenDigests;
    /** Empty if the instance serves callers, else why it does not. */
    std::function<std::string()> whyNotReady;
    /** Begins a graceful shutdown. */
    std::function<void()> drain;
};

/** The operators' HTTP interface with health, metrics and status. docs/protocols/operators.md describes it. */
class OperatorEndpoint
{
public:
    explicit OperatorEndpoint(const OperatorEndpointParts &parts);

    /** Adds the routes to a server that has not been started. */
    void install(HttpServer &server);

private:
    using Handler = std::function<HttpReply(const HttpRequest &)>;

    void installHealth(HttpServer &server);
    void installConfiguration(HttpServer &server);
    void installJobs(HttpServer &server);
    Handler authenticated(Handler handler);
    static HttpReply validate(const HttpRequest &request);
    HttpReply apply(const HttpRequest &request);
    HttpReply plan(const HttpRequest &request);
    HttpReply showConfiguration() const;
    HttpReply showStatus() const;
    HttpReply showLogbook(const HttpRequest &request);

    OperatorEndpointParts parts_;
};

} // namespace auburndoor
