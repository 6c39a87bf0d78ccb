#include "cell/ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <linux/close_range.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace auburndoor {

namespace {

int exitCodeOf(int status)
{
    constexpr int signalBase = 128;
    return WIFSIGNALED(status) ? signalBase + WTERMSIG(status) : WEXITSTATUS(status);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<char *> pointers;
    for (const auto &argument : arguments) {
        pointers.push_back(const_cast<char *>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    id_ = fork();
    if (id_ < 0) {
        throw std::runtime_error("cannot fork");
    }
    if (id_ == 0) {
        // A test program that crashes must leave no process behind, which would call the ports of later tests.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto file = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        // Sockets of the test must not stay open in the child.
        close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
        execv(pointers.front(), pointers.data());
        _exit(127);
    }
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept : id_(other.id_), exitCode_(other.exitCode_)
{
    other.id_ = 0;
}

ChildProcess::~ChildProcess()
{
    if (id_ > 0 && !exitCode_) {
        kill(id_, SIGKILL);
        int status = 0;
        waitpid(id_, &status, 0);
    }
}

void ChildProcess::signal(int number) const
{
    if (id_ > 0 && !exitCode_) {
        kill(id_, number);
    }
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!exitCode_) {
        int status = 0;
        if (waitpid(id_, &status, WNOHANG) == id_) {
            exitCode_ = exitCodeOf(status);
        } else if (std::chrono::steady_clock::now() >= deadline) {
            break;
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    return exitCode_;
}

bool ChildProcess::isRunning()
{
    return !waitForExit(std::chrono::milliseconds(0));
}

pid_t ChildProcess::id() const
{
    return id_;
}

} // namespace auburndoor
