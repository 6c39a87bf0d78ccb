#pragma once

#include "http/HttpMessage.h"
#include "jobs/Job.h"

#include <vector>

namespace auburndoor {

struct Failure;
struct JobExplanation;
struct RequestTrace;

/** Creates the HTTP replies about jobs, and about requests that an operator asks to explain. */
class JobReply
{
public:
    /** The reply to a submission that is recorded. @param status 202 if the job is new, 200 if it was recorded before */
    static HttpReply accepted(const JobId &id, int status);

    /** The reply to a submission of which it is not known whether it was recorded. */
    static HttpReply unknown(const JobId &id, const Failure &failure);

    /** The reply to a cancellation that is recorded. */
    static HttpReply cancelling(const Job &job);

    static HttpReply job(const Job &job);
    static HttpReply jobs(const std::vector<Job> &jobs);
    static HttpReply explanation(const JobId &id, const JobExplanation &explanation);
    static HttpReply trace(const RequestTrace &trace);
};

} // namespace auburndoor
