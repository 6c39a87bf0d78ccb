#include "membership/HeartbeatTraffic.h"

#include "core/Failure.h"
#include "core/SystemClock.h"
#include "fakes/StubPeerHandler.h"
#include "membership/HeartbeatSender.h"
#include "observability/Metrics.h"
#include "peer/PeerServer.h"
#include "peer/ThriftPeer.h"

#include <memory>
#include <stdexcept>

namespace auburndoor {

namespace {

// As long as a secret of 128 random bits in hexadecimal digits.
const std::string secret(32, 'x');

/** Answers heartbeats with the state in a view. */
class HeartbeatHandler : public StubPeerHandler
{
public:
    Member heartbeat(const Member &sender) override
    {
        return view->receive(sender);
    }

    MembershipView *view = nullptr;
};

/** The peer server, membership view and heartbeat sender of one instance. */
struct TrafficInstance
{
    TrafficInstance(int number, Clock &clock) : clock(clock), server(makeOptions(), handler, clock, metrics)
    {
        Failure failure;
        const auto port = server.bind(failure);
        if (!port) {
            throw std::runtime_error(failure.text());
        }
        self.id = InstanceId("instance-" + std::to_string(number));
        self.incarnation = 1'700'000'000'000;
        self.peerAddress = "127.0.0.1:" + std::to_string(*port);
        self.failureDomain = FailureDomainId("kingston-" + std::to_string(number % 4));
        self.region = RegionId("kingston");
        self.summary = { 1, { { ServiceId("namedesk"), 0, 0 }, { ServiceId("namestudio"), 0, 0 } } };
        view = std::make_unique<MembershipView>(
            self, [this](const Member &member) { return connect(member); }, MembershipTiming(), this->clock, metrics);
        handler.view = view.get();
        sender = std::make_unique<HeartbeatSender>(*view, HeartbeatTiming(), clock, metrics);
        server.start();
    }

    static PeerServerOptions makeOptions()
    {
        PeerServerOptions options;
        options.secret = secret;
        options.drainTime = Milliseconds(0);
        return options;
    }

    std::shared_ptr<Peer> connect(const Member &member)
    {
        ThriftPeerOptions options;
        options.peer = member.id;
        options.address = member.peerAddress;
        options.secret = secret;
        return std::make_shared<ThriftPeer>(options, clock, metrics);
    }

    long long byteCount() const
    {
        return metrics.counter("heartbeat_bytes_total", "sent") + metrics.counter("heartbeat_bytes_total", "received");
    }

    Clock &clock;
    Metrics metrics;
    HeartbeatHandler handler;
    Member self;
    PeerServer server;
    std::unique_ptr<MembershipView> view;
    std::unique_ptr<HeartbeatSender> sender;
};

using Instances = std::vector<std::unique_ptr<TrafficInstance>>;

struct TrafficTotals
{
    double exchanges = 0;
    double byteCount = 0;
};

TrafficTotals sumTraffic(const Instances &instances)
{
    TrafficTotals result;
    for (const auto &instance : instances) {
        result.exchanges += static_cast<double>(instance->metrics.counter("heartbeats_total"));
        result.byteCount += static_cast<double>(instance->byteCount());
    }
    return result;
}

/** Waits in real time and changes the summaries in the given period; zero for no changes. */
void runFor(SystemClock &clock, Instances &instances, Milliseconds changePeriod, Milliseconds duration)
{
    std::mutex mutex;
    std::condition_variable condition;
    std::unique_lock lock(mutex);
    const auto end = clock.now() + duration;
    for (int round = 0; clock.now() < end; ++round) {
        const auto next = changePeriod > Milliseconds(0) ? std::min(end, clock.now() + changePeriod) : end;
        clock.waitUntil(lock, condition, next, [] { return false; });
        for (const auto &instance : instances) {
            if (changePeriod > Milliseconds(0)) {
                instance->view->setPools({ { ServiceId("namedesk"), round, round }, { ServiceId("namestudio"), round, round } });
            }
        }
    }
}

} // namespace

HeartbeatTraffic measureHeartbeatTraffic(int instanceCount,
                                         std::chrono::milliseconds changePeriod,
                                         std::chrono::milliseconds duration)
{
    SystemClock clock;
    Instances instances;
    std::vector<Member> members;
    for (int number = 0; number < instanceCount; ++number) {
        instances.push_back(std::make_unique<TrafficInstance>(number, clock));
        members.push_back(instances.back()->self);
    }
    for (const auto &instance : instances) {
        instance->view->addRegistered(members);
        instance->sender->start();
    }
    runFor(clock, instances, changePeriod, Milliseconds(1000));
    const auto before = sumTraffic(instances);
    runFor(clock, instances, changePeriod, duration);
    const auto after = sumTraffic(instances);
    for (const auto &instance : instances) {
        instance->sender->stop();
    }
    for (const auto &instance : instances) {
        instance->server.stop();
    }
    constexpr double headerBytes = 40;
    constexpr double packetsPerExchange = 3;
    const auto seconds = std::chrono::duration<double>(duration).count();
    const auto exchanges = after.exchanges - before.exchanges;
    const auto byteCount = after.byteCount - before.byteCount;
    // Each exchange counts for two instances.
    const auto perInstance = 2 * (byteCount + exchanges * packetsPerExchange * headerBytes) / instanceCount;
    return { exchanges / seconds, byteCount / exchanges, perInstance / seconds };
}

} // namespace auburndoor
