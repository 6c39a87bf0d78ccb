#pragma once

#include "http/HttpMessage.h"

namespace auburndoor {

class ConfigurationManager;
class HttpServer;
class JobService;
class Metrics;
class Pipeline;

/** Serves the HTTP interface for callers: requests to services, and jobs. docs/protocols/callers.md describes the protocol. */
class CallerEndpoint
{
public:
    CallerEndpoint(Metrics &metrics, ConfigurationManager &configuration, const Pipeline &pipeline, JobService &jobs);

    /** Adds the routes and error handlers to a server that has not been started. */
    void install(HttpServer &server);

private:
    HttpReply serveRequest(const HttpRequest &request);
    HttpReply submitJob(const HttpRequest &request);
    HttpReply showJob(const HttpRequest &request);
    /** The reply to a request that arrives while all connection threads are busy. */
    HttpReply refuseOverflow();
    /** The reply to a request that the HTTP server rejects with an error status. */
    HttpReply replyToError(const HttpRequest &request, int status);

    Metrics &metrics_;
    ConfigurationManager &configuration_;
    const Pipeline &pipeline_;
    JobService &jobs_;
};

} // namespace auburndoor
