#include "cell/ChildProcess.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

using namespace auburndoor;

namespace {

constexpr const char *settingsText
    = R"({"nodeName":"entry-0","ip":"127.0.0.1","zone":"z","listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2"},)"
      R"("portRange":[3,18],"limits":{"cpuShare":1.0},)"
      R"("bounds":{"maxHoldMs":10000,"graceS":6,"status_s":120,"early_ms":250},"platform":{"address":"127.0.0.1:4"}})";

/** Opens a pipe for writing once the program reads from it. @return the descriptor, or -1 if nobody has read in 10 s */
int openWhenRead(const std::string &pipe)
{
    constexpr int attempts = 1000;
    constexpr useconds_t interval = 10000;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const int descriptor = open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        if (descriptor >= 0) {
            return descriptor;
        }
        usleep(interval);
    }
    return -1;
}

} // namespace

// Guards against the default action of SIGHUP, which ends a process that is told of changed settings while it still starts.
TEST_CASE("a SIGHUP while the settings are first read does not end the process")
{
    const auto folder = std::string(PROGRAM_FOLDER) + "/startup";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const auto pipe = folder + "/settings.json";
    REQUIRE(mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR) == 0);
    ChildProcess process({ std::string(PROGRAM_FOLDER) + "/auburndoor-entry", "--settings=" + pipe, "--check-settings" },
                         folder + "/log");
    const int descriptor = openWhenRead(pipe);
    REQUIRE(descriptor >= 0);
    process.signal(SIGHUP);
    CHECK(write(descriptor, settingsText, std::char_traits<char>::length(settingsText)) > 0);
    close(descriptor);
    constexpr std::chrono::seconds exitLimit { 10 };
    CHECK(process.waitForExit(exitLimit).value_or(-1) == 0);
}
