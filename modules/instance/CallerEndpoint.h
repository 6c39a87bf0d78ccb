#pragma once

#include "http/HttpMessage.h"

namespace auburndoor {

class ConfigurationManager;
class HttpServer;
class JobService;
class Metrics;
class Pipeline;

/** The callers' HTTP interface: requests to services, and jobs. docs/protocols/callers.md describes it. */
class CallerEndpoint
{
public:
    CallerEndpoint(Metrics &metrics, ConfigurationManager &configuration, const Pipeline &pipeline, JobService &jobs);

    /** Adds the routes to a server that has not been started. */
    void install(HttpServer &server);

private:
    HttpReply serveRequest(const HttpRequest &request);
    HttpReply submitJob(const HttpRequest &request);
    HttpReply showJob(const HttpRequest &request);
    HttpReply refuseOverflow();
    HttpReply refuseUnknown(const HttpRequest &request, int status);

    Metrics &metrics_;
    ConfigurationManager &configuration_;
    const Pipeline &pipeline_;
    JobService &jobs_;
};

} // namespace auburndoor
