#pragma once

#include "core/Identifier.h"
#include "http/HttpMessage.h"

#include <string>

namespace auburndoor {

class ConfigurationManager;

/** Submits, shows, explains and cancels jobs on behalf of callers and operators. Any thread. */
class JobService
{
public:
    explicit JobService(ConfigurationManager &configuration);

    HttpReply submitForTeam(const std::string &token, const std::string &idempotencyKey, const std::string &text);
    HttpReply showForTeam(const std::string &token, const JobId &job);

    HttpReply submit(const std::string &idempotencyKey, const std::string &text);
    /** Takes note that a job of a shard has been recorded or changed through another instance. */
    void noticeJob(const ShardId &shard, const JobId &job);

    HttpReply list();
    HttpReply explain(const std::string &id);
    HttpReply cancel(const JobId &job);

private:
    ConfigurationManager &configuration_;
};

} // namespace auburndoor
