#include "PlatformStandIn.h"

#include "core/Failure.h"
#include "core/FlagNames.h"
#include "core/SystemClock.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port to listen on; 0 lets the system choose");
ABSL_FLAG(std::string, port_file, "", "file that receives the port number once the program listens");
ABSL_FLAG(double, writes_per_second, 300, "limit of commits and object puts per second");
ABSL_FLAG(double, reads_per_second, 2000, "limit of reads per second");
ABSL_FLAG(int, list_lag_ms, 1000, "lag of the list of workers, in ms");
ABSL_FLAG(int,
          lost_answer_delay_ms,
          3000,
          "how long the request of a lost answer is kept open, in ms; longer than the client's timeout");

using namespace auburndoor;

namespace {

/** Writes a temporary file and renames it, so that a reader never sees a partial file. */
bool writePortFile(const std::string &path, int port)
{
    const auto temporary = path + ".part";
    std::ofstream file(temporary);
    file << port << '\n';
    file.close();
    return file && std::rename(temporary.c_str(), path.c_str()) == 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    absl::SetProgramUsageMessage("Stand-in for the platform's table, object store and worker list.");
    acceptHyphens(argumentCount, arguments);
    absl::ParseCommandLine(argumentCount, arguments);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    SystemClock clock;
    PlatformStandIn standIn({ absl::GetFlag(FLAGS_writes_per_second),
                              absl::GetFlag(FLAGS_reads_per_second),
                              Milliseconds(absl::GetFlag(FLAGS_list_lag_ms)),
                              Milliseconds(absl::GetFlag(FLAGS_lost_answer_delay_ms)) },
                            clock);
    HttpServerOptions options;
    options.address = absl::GetFlag(FLAGS_address);
    options.port = absl::GetFlag(FLAGS_port);
    // A kept-alive connection holds a thread; 8 instances keep up to 32 connections each.
    options.threadCount = 256;
    HttpServer server(options);
    standIn.addRoutes(server);
    Failure failure;
    const auto port = server.bind(failure);
    if (!port) {
        std::cerr << failure.text() << '\n';
        return 1;
    }
    server.start();
    const auto portFile = absl::GetFlag(FLAGS_port_file);
    if (!portFile.empty() && !writePortFile(portFile, *port)) {
        std::cerr << "cannot write " << portFile << '\n';
        return 1;
    }
    std::cout << "standin-platform is ready on " << options.address << ':' << *port << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    server.stop();
    return 0;
}
