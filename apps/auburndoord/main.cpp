#include "core/BuildVersion.h"
#include "core/Failure.h"
#include "core/FlagNames.h"
#include "core/SystemClock.h"
#include "core/ValidationProblem.h"
#include "instance/Instance.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "settings/SettingsLoader.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <csignal>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "the settings file: JSON with comments (required)");
ABSL_FLAG(bool, check_settings, false, "check the settings file, print all problems, and exit without starting");
ABSL_FLAG(std::string, port_file, "", "file to write the chosen ports to, as one line of JSON, once all listeners are bound");

namespace {

constexpr int exitDone = 0;
constexpr int exitUsage = 1;
constexpr int exitInvalidSettings = 2;
constexpr int exitCannotStart = 3;
constexpr int exitDeadlinePassed = 4;

void printProblems(const auburndoor::ValidationProblems &problems)
{
    for (const auto &problem : problems) {
        std::cerr << problem.text() << '\n';
    }
    std::cerr << problems.size() << " problem(s) in the settings\n";
}

bool writePorts(const std::string &fileName, const auburndoor::Instance &instance)
{
    // Written to a temporary file and renamed, so that a reader never sees a partial line.
    const auto temporary = fileName + ".tmp";
    {
        std::ofstream file(temporary);
        file << "{\"callers\":" << instance.callersPort() << ",\"operators\":" << instance.operatorsPort()
             << ",\"peers\":" << instance.peersPort() << "}\n";
        if (!file) {
            return false;
        }
    }
    return std::rename(temporary.c_str(), fileName.c_str()) == 0;
}

/** Blocks the stop signals in all threads, so that only waitForStop() takes them. */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const auburndoor::Settings &settings)
{
    const auto signals = blockStopSignals();
    auburndoor::Log::configure(settings.log.level, settings.instance.id.text());
    auburndoor::SystemClock clock;
    auburndoor::Metrics metrics;
    auburndoor::Instance instance(settings, clock, metrics);
    instance.setDrainListener([] { kill(getpid(), SIGTERM); });
    auburndoor::Failure failure;
    if (!instance.start(failure)) {
        std::cerr << failure.text() << '\n';
        return exitCannotStart;
    }
    const auto portFile = absl::GetFlag(FLAGS_port_file);
    if (!portFile.empty() && !writePorts(portFile, instance)) {
        std::cerr << "cannot write the port file " << portFile << '\n';
        return exitCannotStart;
    }
    int signalNumber = 0;
    sigwait(&signals, &signalNumber);
    return instance.shutDown() ? exitDone : exitDeadlinePassed;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "auburndoord --settings=FILE [--check-settings] [--port-file=FILE]: one entry instance of a cell.\n"
        "Exit codes: 0 stopped gracefully or settings are valid, 1 usage, 2 bad settings, 3 cannot start, "
        "4 the shutdown deadline passed with requests in flight.");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return "auburndoord " + std::string(auburndoor::buildVersion()) + '\n'; };
    absl::SetFlagsUsageConfig(usage);
    auburndoor::acceptHyphens(argc, argv);
    absl::ParseCommandLine(argc, argv);
    const auto fileName = absl::GetFlag(FLAGS_settings);
    if (fileName.empty()) {
        std::cerr << "--settings=FILE is required\n";
        return exitUsage;
    }
    auburndoor::ValidationProblems problems;
    const auto settings = auburndoor::SettingsLoader::load(fileName, problems);
    if (!settings) {
        printProblems(problems);
        return exitInvalidSettings;
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << fileName << ": settings are valid\n";
        return exitDone;
    }
    return run(*settings);
}
