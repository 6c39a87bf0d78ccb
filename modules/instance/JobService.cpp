#include "instance/JobService.h"

#include "core/Failure.h"
#include "instance/OutcomeReply.h"

namespace auburndoor {

namespace {

HttpReply notReady()
{
    return refusalReply({ Step::Admit, {}, Reason::NotReady, "jobs are not served yet" });
}

} // namespace

JobService::JobService(ConfigurationManager &configuration) : configuration_(configuration)
{
}

HttpReply JobService::submitForTeam(const std::string &, const std::string &, const std::string &)
{
    return notReady();
}

HttpReply JobService::showForTeam(const std::string &, const JobId &)
{
    return notReady();
}

HttpReply JobService::submit(const std::string &, const std::string &)
{
    return notReady();
}

void JobService::noticeJob(const ShardId &, const JobId &)
{
}

HttpReply JobService::list()
{
    return notReady();
}

HttpReply JobService::explain(const std::string &)
{
    return notReady();
}

HttpReply JobService::cancel(const JobId &)
{
    return notReady();
}

} // namespace auburndoor
