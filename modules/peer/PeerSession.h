#pragma once

#include "peer/CallGate.h"
#include "peer/MemberCodec.h"
#include "peer/PeerHandler.h"

#include "PeerService.h"

#include <string>

// Internal: included by sources of this module only.
namespace auburndoor {

class Metrics;

/** What all sessions of a server share. */
struct SessionContext
{
    PeerHandler &handler;
    Clock &clock;
    Metrics &metrics;
    const std::string secret;
    CallGate gate;
};

/** The calls of one connection: checks the secret and the gate, converts, and calls the handler. One thread. */
class PeerSession : public wire::PeerServiceIf
{
public:
    explicit PeerSession(SessionContext &context);

    /** Whether a call with the right secret has arrived. */
    bool isAuthenticated() const;

    /** Ends the call that was admitted; called once its answer has been sent. */
    void leave();

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
    void authenticate(const wire::CallHeader &header);
    void admit(const wire::CallHeader &header);
    [[noreturn]] void refuse(const Failure &failure);
    template<typename Convert>
    auto parse(Convert convert);

    SessionContext &context_;
    MemberEncoder encoder_;
    MemberDecoder decoder_;
    bool isAuthenticated_ = false;
    bool isAdmitted_ = false;
};

} // namespace auburndoor
