#pragma once

#include "dispatch/CommitQueue.h"
#include "entry/Leadership.h"
#include "entry/OwnerShare.h"
#include "fakes/FakeStore.h"
#include "fakes/PartitionedStore.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/** An entry process reduced to its leadership: the listener for its peers, and the heartbeat that it sends as the owner. */
class LeadershipProcess
{
public:
    LeadershipProcess(EventLoop &loop, StateStore &store, const std::string &name, double processorShare, double linkMbps = 1000.0)
        : storeLink(loop, store)
        , loop_(loop)
        , listener_(std::make_unique<HttpListener>(loop,
                                                   HttpListenerLimits(),
                                                   [this](const WebRequest &request, const HttpResponderPointer &responder) {
                                                       if (!leadership_) {
                                                           responder->abandon();
                                                       } else if (request.target.starts_with(PeerCodec::heartbeatPath)) {
                                                           answerHeartbeat(request, responder);
                                                       } else if (request.target == PeerCodec::successionPath) {
                                                           leadership_->succeed(*PeerCodec::readSuccessionRequest(request));
                                                           responder->reply({ 200, {}, {} });
                                                       } else {
                                                           leadership_->answerOwnerView(responder);
                                                       }
                                                   }))
    {
        settings_.nodeName = name;
        settings_.processorShare = processorShare;
        settings_.linkMbps = linkMbps;
        std::string error;
        REQUIRE(listener_->listen({ "127.0.0.1", 0 }, error));
        settings_.peers = { "127.0.0.1", listener_->port() };
        LeadershipTiming timing;
        timing.isolationWait = Milliseconds(300);
        leadership_ = std::make_unique<Leadership>(
            loop,
            storeLink,
            settings_,
            timing,
            Leadership::Hooks { [this](const Ownership &won) { ownership = won; }, [this] { return ownHeartbeat(); } });
        leadership_->start();
    }

    /** Ends the process without a release of the ownership, as a kill does. */
    void kill()
    {
        ownership.reset();
        leadership_.reset();
        listener_.reset();
    }

    /** Does what an owner does when the store refuses a write of its as out of date. */
    void depose()
    {
        ownership.reset();
        leadership_->stepDown();
    }

    /** Ends the ownership as a planned stop does. */
    void release()
    {
        leadership_->release(*ownership, [this] { ownership.reset(); });
    }

    const Address &address() const
    {
        return settings_.peers;
    }

    Leadership &leadership()
    {
        return *leadership_;
    }

    PartitionedStore storeLink;
    /** Empty unless this process is the owner. */
    std::optional<Ownership> ownership;
    /** The duration that this process reports in its heartbeats as the owner. */
    Milliseconds storeStallDuration { 0 };
    /** How late this process handles heartbeat requests, as a busy one does. */
    Milliseconds heartbeatLateness { 0 };
    /** If set, only the requests of this process are handled late, or refused. */
    std::optional<Address> lateFollower;
    /** Heartbeat requests are answered with status 503, as those on a connection over the limit of a listener. */
    bool isListenerFull = false;
    /** What this process reports in its heartbeats as the owner. */
    bool isReady = true;

private:
    void answerHeartbeat(const WebRequest &request, const HttpResponderPointer &responder)
    {
        const bool isLate = !lateFollower || PeerCodec::readHeartbeatRequest(request)->address == lateFollower;
        if (isListenerFull && isLate) {
            responder->reply({ 503, {}, {} });
            return;
        }
        if (heartbeatLateness == Milliseconds(0) || !isLate) {
            leadership_->answerHeartbeat(request, responder);
            return;
        }
        loop_.after(heartbeatLateness, [this, request, responder] {
            if (leadership_) {
                leadership_->answerHeartbeat(request, responder);
            }
        });
    }

    std::optional<OwnerHeartbeat> ownHeartbeat()
    {
        if (!ownership) {
            return std::nullopt;
        }
        OwnerHeartbeat heartbeat { settings_.nodeName,    ownership->token,      storeStallDuration, isReady, 1,
                                   ownerShare(settings_), leadership_->members() };
        return heartbeat;
    }

    EventLoop &loop_;
    EntrySettings settings_;
    std::unique_ptr<HttpListener> listener_;
    std::unique_ptr<Leadership> leadership_;
};

/** Entry processes that share one store and one event loop. */
struct LeadershipFixture
{
    explicit LeadershipFixture(std::initializer_list<double> shares) : store(loop)
    {
        for (const double share : shares) {
            processes.push_back(std::make_unique<LeadershipProcess>(loop, store, "n" + std::to_string(processes.size()), share));
        }
    }

    void runFor(Milliseconds time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    /** Names a process outside of the fixture in the epoch row, as the owner. */
    void writeOwner(std::int64_t token, const Address &address)
    {
        store.write(FencingRows::table,
                    FencingRows::epochKey,
                    R"({"token":)" + std::to_string(token) + R"(,"owner":"outside","address":")" + address.text() + R"("})");
    }

    /** Starts processes at the same time. */
    void addProcesses(int count)
    {
        for (int number = 0; number < count; ++number) {
            processes.push_back(std::make_unique<LeadershipProcess>(loop, store, "n" + std::to_string(processes.size()), 1.0));
        }
    }

    /** Runs until a process is the owner with at least this token. @return null if none is within the limit */
    LeadershipProcess *waitForOwner(std::int64_t token, Milliseconds limit = Milliseconds(20000))
    {
        for (Milliseconds passed { 0 }; passed < limit; passed += Milliseconds(20)) {
            runFor(Milliseconds(20));
            for (const auto &process : processes) {
                if (process->ownership && process->ownership->token >= token) {
                    return process.get();
                }
            }
        }
        return nullptr;
    }

    /** The highest token of the processes that count themselves as owners; an earlier owner may not know yet that it is deposed. */
    std::int64_t highestToken() const
    {
        std::int64_t highest = 0;
        for (const auto &process : processes) {
            highest = std::max(highest, process->ownership ? process->ownership->token : 0);
        }
        return highest;
    }

    EventLoop loop;
    FakeStore store;
    std::vector<std::unique_ptr<LeadershipProcess>> processes;
};

} // namespace auburndoor
