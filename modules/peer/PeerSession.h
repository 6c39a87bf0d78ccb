#pragma once

#include "peer/CallLimiter.h"
#include "peer/MemberCodec.h"
#include "peer/PeerHandler.h"

#include "PeerService.h"

#include <string>

// Internal: included by sources of this module only.
namespace auburndoor {

class Metrics;

/** The objects that all sessions of a server share. */
struct SessionContext
{
    PeerHandler &handler;
    Clock &clock;
    Metrics &metrics;
    const std::string secret;
    CallLimiter callLimiter;
};

/**
    Executes the calls that arrive on one connection, on the thread of that connection.

    Each call is checked for the shared secret and, except heartbeats, for the limit on calls in flight. The session then converts
    the message and calls the handler. A call that fails a check throws wire::Refusal.
*/
class PeerSession : public wire::PeerServiceIf
{
public:
    explicit PeerSession(SessionContext &context);

    /** True once a call with the right secret has arrived on this connection. */
    bool isAuthenticated() const;

    /** Ends the admitted call, if there is one. The server calls this once it has sent the answer or failed to. */
    void finishCall();

    void heartbeat(wire::MemberState &answer, const wire::CallHeader &header, const wire::MemberState &sender) override;
    void execute(wire::ForwardedOutcome &answer, const wire::CallHeader &header, const wire::ForwardedRequest &request) override;
    int64_t announce(const wire::CallHeader &header, const wire::Announcement &announcement) override;
    void fetchConfiguration(wire::Announcement &answer, const wire::CallHeader &header) override;
    void hold(std::vector<wire::HeldPlace> &answer, const wire::CallHeader &header, const wire::HoldOrder &order) override;
    void release(const wire::CallHeader &header, const std::vector<wire::HeldPlace> &holds) override;
    void startHeld(wire::StartResult &answer,
                   const wire::CallHeader &header,
                   const wire::HeldPlace &place,
                   const wire::StartOrder &start) override;
    void queryTask(wire::TaskReport &answer,
                   const wire::CallHeader &header,
                   const std::string &worker,
                   const std::string &task) override;
    void cancelTask(wire::TaskReport &answer,
                    const wire::CallHeader &header,
                    const std::string &worker,
                    const std::string &task) override;
    void notifyJob(const wire::CallHeader &header, const std::string &shard, const std::string &job) override;
    void runningTasks(std::vector<std::string> &answer, const wire::CallHeader &header, const std::string &job) override;

private:
    /** Refuses the call if its secret is wrong, or if this server has none. */
    void authenticate(const wire::CallHeader &header);
    /** Authenticates the call and counts it as in flight; refuses it if the limit is reached or the server is stopping. */
    void admit(const wire::CallHeader &header);
    /** Counts the refusal and throws it as wire::Refusal. */
    [[noreturn]] void refuse(const Failure &failure);
    /** Runs a conversion from the wire format; refuses the call if a value is out of range. */
    template<typename Convert>
    auto convertOrRefuse(Convert convert);

    SessionContext &context_;
    MemberEncoder encoder_;
    MemberDecoder decoder_;
    bool isAuthenticated_ = false;
    bool isCallAdmitted_ = false;
};

} // namespace auburndoor
