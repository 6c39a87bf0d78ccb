#pragma once

#include "cell/ChildProcess.h"
#include "soak/EntryOptions.h"
#include "soak/FaultyLink.h"

#include <optional>
#include <string>

namespace auburndoor {

/**
    Runs an auburndoor-entry process on a loopback address of its own; it reaches the store through a FaultyLink.

    The environment variable SOAK_ENTRY selects another program than that of this build, such as that of an earlier version.
*/
class EntryProcess
{
public:
    /** @param number determines its address and its name @param folder receives its settings file and its log */
    EntryProcess(EventLoop &loop,
                 int number,
                 const Address &store,
                 const std::string &folder,
                 const EntryOptions &options = EntryOptions());

    void start();
    /** Kills the process at once, as the loss of its machine does. */
    void kill();
    /** Sends SIGTERM; restartIfStopped() starts the process again once it has exited. */
    void terminate();
    /** Suspends the process with SIGSTOP. */
    void pause();
    /** Continues a suspended process with SIGCONT; one that was killed in the meantime is not signalled. */
    void resume();
    /** Sends SIGHUP. */
    void sendHangUp();

    /** Starts the process again if it has exited after terminate(). @return false if it still runs after its grace period */
    bool restartIfStopped(TimePoint now);

    bool isRunning() const;
    /** How often it was started. */
    int startCount() const;
    /** True if the process has ended although it was neither killed nor told to stop. */
    bool hasEndedByItself();
    bool isPaused() const;
    bool isStopping() const;

    /** The node name of the process with this number. */
    static std::string nameOf(int number);
    /** The node name, which the row of the epoch shows while the process owns the cell. */
    const std::string &name() const;
    Address clientAddress() const;
    Address readinessAddress() const;
    Address peerAddress() const;
    Address operatorAddress() const;
    /** To be called while it runs. */
    pid_t processId() const;
    /** Receives its output. */
    const std::string &logFile() const;
    FaultyLink &storeLink();
    const FaultyLink &storeLink() const;

private:
    void writeSettings(const Address &store, const EntryOptions &options) const;

    EventLoop &loop_;
    std::string ip_;
    std::string name_;
    std::string settingsFile_;
    std::string logFile_;
    FaultyLink storeLink_;
    std::optional<ChildProcess> process_;
    std::optional<TimePoint> stoppingSince_;
    bool isPaused_ = false;
    int startCount_ = 0;
};

} // namespace auburndoor
