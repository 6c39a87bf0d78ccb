#include "measure/ExchangeCost.h"

#include "net/EventLoop.h"
#include "net/HttpChannels.h"
#include "net/HttpListener.h"

#include <sys/resource.h>

#include <future>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

namespace auburndoor {

namespace {

constexpr Milliseconds requestTimeout { 10000 };

/** Processor time of the calling thread, in microseconds. */
struct ThreadTime
{
    double user = 0;
    double total = 0;

    static ThreadTime read()
    {
        rusage usage {};
        getrusage(RUSAGE_THREAD, &usage);
        const auto microseconds = [](const timeval &time) {
            constexpr double microsecondsInSecond = 1e6;
            return static_cast<double>(time.tv_sec) * microsecondsInSecond + static_cast<double>(time.tv_usec);
        };
        const auto user = microseconds(usage.ru_utime);
        return { user, user + microseconds(usage.ru_stime) };
    }
};

/** Serves requests on a thread of its own until it is destroyed. */
class ServerThread
{
public:
    ServerThread()
        : listener_(loop_, {}, [](const WebRequest &, const HttpResponderPointer &responder) {
            responder->reply({ 200, R"({"clockMs":123456789,"running":1})", {} });
        })
    {
        std::string error;
        if (!listener_.listen({ "127.0.0.1", 0 }, error)) {
            throw std::runtime_error(error);
        }
        thread_ = std::thread([this] {
            loop_.run();
            used_.set_value(ThreadTime::read());
        });
    }

    Address address() const
    {
        return { "127.0.0.1", listener_.port() };
    }

    ThreadTime stop()
    {
        loop_.stop();
        thread_.join();
        return used_.get_future().get();
    }

private:
    EventLoop loop_;
    HttpListener listener_;
    std::promise<ThreadTime> used_;
    std::thread thread_;
};

/** Sends one request after the other to each peer. */
class Client
{
public:
    Client(const Address &server, int peers)
    {
        for (int peer = 0; peer < peers; ++peer) {
            channels_.push_back(std::make_unique<HttpChannels>(loop_, server, HttpChannelLimits {}));
        }
    }

    void run(int exchanges)
    {
        toSend_ = exchanges;
        open_ = 0;
        for (auto &channels : channels_) {
            sendNext(*channels);
        }
        loop_.run();
    }

private:
    void sendNext(HttpChannels &channels)
    {
        if (toSend_ == 0) {
            if (open_ == 0) {
                loop_.stop();
            }
            return;
        }
        --toSend_;
        ++open_;
        WebRequest request { "POST",
                             "/api/run-start",
                             { { "Target-Instance", "front-0123456789abcdef" } },
                             R"({"attempt":12001,"deadlineMs":123456789,"fencingToken":12,"spec":")" + std::string(200, 'x')
                                 + "\"}",
                             false };
        channels.send(std::move(request), requestTimeout, [this, &channels](const SendResult &result) {
            if (!result.hasStatus(200)) {
                throw std::runtime_error("exchange failed: " + result.error);
            }
            --open_;
            sendNext(channels);
        });
    }

    EventLoop loop_;
    std::vector<std::unique_ptr<HttpChannels>> channels_;
    int toSend_ = 0;
    int open_ = 0;
};

} // namespace

ExchangeCost measureExchanges(int peers, int exchanges)
{
    ServerThread server;
    Client client(server.address(), peers);
    client.run(peers);
    const auto before = ThreadTime::read();
    client.run(exchanges);
    const auto after = ThreadTime::read();
    const auto served = server.stop();
    const double each = exchanges;
    const double servedRequests = peers + exchanges;
    return { (after.total - before.total) / each,
             (after.user - before.user) / each,
             served.total / servedRequests,
             served.user / servedRequests };
}

void printExchangeCost()
{
    constexpr int peers = 1100;
    constexpr int exchanges = 200'000;
    const auto cost = measureExchanges(peers, exchanges);
    std::cout << "one HTTP exchange, us of processor time: client " << cost.client << " (" << cost.clientUser
              << " without the kernel), server " << cost.server << " (" << cost.serverUser << ")\n";
}

} // namespace auburndoor
