#include "soak/EntryProcess.h"

#include "net/EventLoop.h"
#include "soak/LoopbackAddress.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>

namespace auburndoor {

namespace {

constexpr int firstAddressNumber = 10;
constexpr int clientPort = 18149;
constexpr int readinessPort = 18141;
constexpr int firstPeerPort = 17380;
constexpr int metricsPort = 19464;
// The grace period of the settings (graceS) and one second for a loaded machine.
constexpr Milliseconds stopTimeout { 7000 };

std::string programFile()
{
    const char *selected = std::getenv("SOAK_ENTRY");
    return selected == nullptr ? std::string(PROGRAM_FOLDER) + "/auburndoor-entry" : selected;
}

} // namespace

EntryProcess::EntryProcess(EventLoop &loop,
                           int number,
                           const Address &store,
                           const std::string &folder,
                           const EntryOptions &options)
    : loop_(loop)
    , ip_(makeLoopbackAddress(firstAddressNumber + number))
    , name_(nameOf(number))
    , settingsFile_(folder + "/" + name_ + ".json")
    , logFile_(folder + "/" + name_ + ".log")
    , storeLink_(loop, store)
{
    writeSettings(storeLink_.address(), options);
}

void EntryProcess::writeSettings(const Address &store, const EntryOptions &options) const
{
    const auto makeAddress = [this](int port) { return ip_ + ":" + std::to_string(port); };
    nlohmann::json settings {
        { "nodeName", name_ },
        { "ip", ip_ },
        { "zone", options.failureDomain },
        { "listen", { { "front", makeAddress(clientPort) }, { "ready", makeAddress(readinessPort) } } },
        { "portRange", { firstPeerPort, firstPeerPort + 15 } },
        { "limits", { { "cpuShare", options.processorShare } } },
        { "bounds", { { "maxHoldMs", options.maxLease.count() }, { "graceS", 6 }, { "status_s", 120 }, { "early_ms", 250 } } },
        { "platform", { { "address", store.text() } } },
    };
    if (options.killGrace) {
        settings["bounds"]["killGraceMs"] = options.killGrace->count();
    }
    if (options.reportInterval) {
        settings["heartbeatMs"] = options.reportInterval->count();
    }
    if (options.memoryMb) {
        settings["limits"]["memoryMb"] = *options.memoryMb;
    }
    if (options.maxFds) {
        settings["limits"]["maxFds"] = *options.maxFds;
    }
    std::ofstream(settingsFile_) << settings.dump(2);
}

void EntryProcess::start()
{
    ++startCount_;
    process_.emplace(
        std::vector<std::string> { programFile(), "--settings=" + settingsFile_, "--metrics-port=" + std::to_string(metricsPort) },
        logFile_);
    stoppingSince_.reset();
    isPaused_ = false;
}

void EntryProcess::kill()
{
    process_.reset();
    stoppingSince_.reset();
}

void EntryProcess::terminate()
{
    process_->signal(SIGTERM);
    stoppingSince_ = loop_.now();
}

void EntryProcess::pause()
{
    process_->signal(SIGSTOP);
    isPaused_ = true;
}

void EntryProcess::resume()
{
    if (process_) {
        process_->signal(SIGCONT);
    }
    isPaused_ = false;
}

void EntryProcess::sendHangUp()
{
    process_->signal(SIGHUP);
}

bool EntryProcess::restartIfStopped(TimePoint now)
{
    if (!process_ || !stoppingSince_) {
        return true;
    }
    if (process_->waitForExit(std::chrono::milliseconds(0))) {
        start();
        return true;
    }
    return now - *stoppingSince_ < stopTimeout;
}

bool EntryProcess::isRunning() const
{
    return process_.has_value();
}

bool EntryProcess::hasEndedByItself()
{
    return process_ && !stoppingSince_ && process_->waitForExit(std::chrono::milliseconds(0)).has_value();
}

bool EntryProcess::isPaused() const
{
    return isPaused_;
}

bool EntryProcess::isStopping() const
{
    return stoppingSince_.has_value();
}

std::string EntryProcess::nameOf(int number)
{
    return "entry-" + std::to_string(number);
}

const std::string &EntryProcess::name() const
{
    return name_;
}

Address EntryProcess::clientAddress() const
{
    return { ip_, clientPort };
}

Address EntryProcess::readinessAddress() const
{
    return { ip_, readinessPort };
}

Address EntryProcess::peerAddress() const
{
    return { ip_, firstPeerPort };
}

Address EntryProcess::operatorAddress() const
{
    return { ip_, metricsPort };
}

pid_t EntryProcess::processId() const
{
    return process_->id();
}

const std::string &EntryProcess::logFile() const
{
    return logFile_;
}

const FaultyLink &EntryProcess::storeLink() const
{
    return storeLink_;
}

int EntryProcess::startCount() const
{
    return startCount_;
}

FaultyLink &EntryProcess::storeLink()
{
    return storeLink_;
}

} // namespace auburndoor
