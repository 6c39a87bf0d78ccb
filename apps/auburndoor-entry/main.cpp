#include "NodeFile.h"
#include "PlatformAdvisor.h"
#include "PlatformProtocol.h"
#include "PlatformStore.h"
#include "PlatformWorkerChannelFactory.h"
#include "core/BuildVersion.h"
#include "core/FlagNames.h"
#include "core/TextFile.h"
#include "entry/EntryInstance.h"
#include "entry/SettingsUpdate.h"
#include "net/EventLoop.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

ABSL_FLAG(std::string,
          settings,
          "",
          "the platform's settings file; if empty, the environment variable AUBURNDOOR_NODE_FILE names it");
ABSL_FLAG(std::uint16_t, metrics_port, 9464, "the port of GET /metrics, on the address of this machine");
ABSL_FLAG(std::uint32_t,
          max_direct_workers,
          200,
          "up to this number of workers, the owner sends all commands itself; with more, other entry processes are its relays");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit without starting");

namespace {

constexpr int exitDone = 0;
constexpr int exitUsage = 1;
constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;
constexpr std::size_t maxSettingsBytes = 1 << 20;
// How long the end waits for the reader of the log; the entry process keeps 0.7 s of its grace for the exit.
constexpr std::chrono::milliseconds maxLogCloseDuration { 300 };

/**
    Keeps the heap small after a load. With the default of glibc, the first large block that is freed raises both thresholds for
    the life of the process, up to 32 MiB, so that freed memory is not given back.
*/
void configureHeap()
{
    constexpr int mappedBlockBytes = 256 * 1024;
    constexpr int maxFreeTopBytes = 1024 * 1024;
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, maxFreeTopBytes);
}

std::string settingsFile()
{
    auto flag = absl::GetFlag(FLAGS_settings);
    if (!flag.empty()) {
        return flag;
    }
    const char *variable = std::getenv(auburndoor::platform::settingsVariable);
    return variable == nullptr ? std::string() : variable;
}

/** Applies changes of the settings file while the process runs: checks the file periodically, and when check() is called. */
class SettingsWatch
{
public:
    SettingsWatch(auburndoor::EventLoop &loop, std::string fileName, auburndoor::EntrySettings &settings, std::string settingsText)
        : loop_(loop), fileName_(std::move(fileName)), settings_(settings), lastText_(std::move(settingsText))
    {
    }

    /** Starts the periodic check. */
    void start()
    {
        loop_.after(checkInterval, [this] {
            check();
            start();
        });
    }

    /** Reads the file; if its text has changed and is valid, updates the settings and logs those that need a restart. */
    void check()
    {
        const auto settingsText = auburndoor::readTextFile(fileName_, maxSettingsBytes);
        if (!settingsText || *settingsText == lastText_) {
            return;
        }
        lastText_ = *settingsText;
        std::string error;
        const auto read = auburndoor::platform::readNodeFile(lastText_, error);
        if (!read) {
            auburndoor::EventLog::write("settings.refused", { { "detail", error } });
            return;
        }
        std::string needRestart;
        for (const auto &settingName : auburndoor::updateSettings(settings_, *read)) {
            needRestart += (needRestart.empty() ? "" : " ") + settingName;
        }
        auburndoor::EventLog::write("settings.taken", { { "need_restart", needRestart } });
    }

private:
    // The settings that can change while the process runs need no faster reaction.
    static constexpr auburndoor::Milliseconds checkInterval { 2000 };

    auburndoor::EventLoop &loop_;
    std::string fileName_;
    auburndoor::EntrySettings &settings_;
    std::string lastText_;
};

int run(auburndoor::EntrySettings settings, const std::string &fileName, const std::string &settingsText)
{
    using namespace auburndoor;
    settings.operators.port = absl::GetFlag(FLAGS_metrics_port);
    settings.maxDirectWorkers = absl::GetFlag(FLAGS_max_direct_workers);
    EventLog::configure(settings.nodeName);
    EventLoop loop;
    const platform::PlatformProtocol protocol;
    platform::PlatformStore store(loop, settings.store);
    platform::PlatformWorkerChannelFactory workers(loop);
    std::unique_ptr<platform::PlatformAdvisor> advisor;
    if (settings.advisor) {
        advisor = std::make_unique<platform::PlatformAdvisor>(loop, *settings.advisor);
    }
    Metrics metrics;
    EventLog::setMetrics(&metrics);
    EntryInstance instance({ loop, settings, protocol, store, workers, advisor.get(), metrics });
    std::string error;
    if (!instance.start(error)) {
        std::cerr << error << '\n';
        EventLog::close(maxLogCloseDuration);
        return exitCannotStart;
    }
    loop.onSignals({ SIGTERM, SIGINT }, [&](int) { instance.shutDown([&loop] { loop.stop(); }); });
    SettingsWatch watch(loop, fileName, settings, settingsText);
    watch.start();
    loop.onSignals({ SIGHUP }, [&watch](int) {
        EventLog::write("settings.signal", {});
        watch.check();
    });
    loop.run();
    EventLog::close(maxLogCloseDuration);
    // Exits without running destructors, since pending handlers still refer to these objects. The operating system closes the
    // sockets.
    std::quick_exit(exitDone);
}

} // namespace

int main(int argc, char **argv)
{
    configureHeap();
    std::signal(SIGPIPE, SIG_IGN);
    // By default the signal ends a process that has not yet installed its handler. A change that it announces is found by the
    // periodic check.
    std::signal(SIGHUP, SIG_IGN);
    absl::SetProgramUsageMessage("auburndoor-entry [--settings=FILE] [--metrics-port=PORT] [--max-direct-workers=COUNT] "
                                 "[--check-settings]: one entry process on the platform.\n"
                                 "Exit codes: 0 stopped or settings are valid, 1 usage, 2 bad settings, 3 cannot start.");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return "auburndoor-entry " + std::string(auburndoor::buildVersion()) + '\n'; };
    absl::SetFlagsUsageConfig(usage);
    auburndoor::acceptHyphens(argc, argv);
    absl::ParseCommandLine(argc, argv);
    const auto fileName = settingsFile();
    if (fileName.empty()) {
        std::cerr << "--settings=FILE or " << auburndoor::platform::settingsVariable << " is required\n";
        return exitUsage;
    }
    std::string error = "cannot be read";
    const auto settingsText = auburndoor::readTextFile(fileName, maxSettingsBytes);
    const auto settings = settingsText ? auburndoor::platform::readNodeFile(*settingsText, error) : std::nullopt;
    if (!settings) {
        std::cerr << fileName << ": " << error << '\n';
        return exitBadSettings;
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << fileName << ": settings are valid\n";
        return exitDone;
    }
    return run(*settings, fileName, *settingsText);
}
