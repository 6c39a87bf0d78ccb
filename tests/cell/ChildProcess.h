#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace auburndoor {

/** A process that a test has started; killed when the object goes. */
class ChildProcess
{
public:
    /** @param arguments the program's path first @param logFile receives its standard output and error */
    ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&) = delete;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Sends a signal such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM. */
    void signal(int number) const;

    /** Waits for the end. @return the exit code, 128 + signal number, or empty if it still runs after the time limit */
    std::optional<int> waitForExit(std::chrono::milliseconds limit);

    bool isRunning();

    pid_t id() const;

private:
    pid_t id_ = 0;
    std::optional<int> exitCode_;
};

} // namespace auburndoor
