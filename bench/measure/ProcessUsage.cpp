#include "measure/ProcessUsage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace auburndoor {

namespace {

/** Zero-based indices of the fields of /proc/<id>/stat after the command name, which may contain spaces. Field 0 is the state. */
constexpr int userTimeField = 11;
constexpr int systemTimeField = 12;
constexpr double kibPerMib = 1024;

double readCpuSeconds(const std::string &folder)
{
    std::ifstream file(folder + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string field;
    long long ticks = 0;
    for (int index = 0; fields >> field && index <= systemTimeField; ++index) {
        ticks += index == userTimeField || index == systemTimeField ? std::stoll(field) : 0;
    }
    return static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace

ProcessUsage ProcessUsage::read(pid_t id)
{
    const auto folder = "/proc/" + std::to_string(id);
    ProcessUsage usage;
    usage.cpuSeconds = readCpuSeconds(folder);
    std::ifstream file(folder + "/status");
    std::string name;
    while (file >> name) {
        if (name == "VmRSS:") {
            file >> usage.residentMiB;
            usage.residentMiB /= kibPerMib;
        } else if (name == "RssAnon:") {
            file >> usage.anonymousMiB;
            usage.anonymousMiB /= kibPerMib;
        } else if (name == "Threads:") {
            file >> usage.threads;
        }
    }
    return usage;
}

} // namespace auburndoor
