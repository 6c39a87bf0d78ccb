#pragma once

#include "http/HttpMessage.h"
#include "jobs/Job.h"

#include <vector>

namespace auburndoor {

struct Failure;
struct JobExplanation;
struct RequestTrace;

/** Renders jobs and explanations as replies. */
class JobReply
{
public:
    /** A submission that is recorded. @param status 202 if it is new, 200 if it was recorded before */
    static HttpReply accepted(const JobId &id, int status);

    /** A submission that may or may not be recorded. */
    static HttpReply unknown(const JobId &id, const Failure &failure);

    /** A cancel that is recorded. */
    static HttpReply cancelling(const Job &job);

    static HttpReply job(const Job &job);
    static HttpReply jobs(const std::vector<Job> &jobs);
    static HttpReply explanation(const JobId &id, const JobExplanation &explanation);
    static HttpReply trace(const RequestTrace &trace);
};

} // namespace auburndoor
