#include "Cases.h"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <string>

/** review-cell CASE ENTRY-PROGRAM FOLDER RECORD-FILE; TROUBLE=0 leaves the disruption out. */
int main(int argc, char **argv)
{
    using namespace auburndoor;
    constexpr int cannotRun = 2;
    static const std::map<std::string, int (*)(ReviewCell &, bool)> cases {
        { "given-up", playGivenUpJobs },
        { "isolated", playIsolatedTasks },
        { "refused", playRefusedJobs },
        { "restarted", playLostAfterRestart },
    };
    const auto found = argc == 5 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::fprintf(stderr, "usage: review-cell CASE ENTRY-PROGRAM FOLDER RECORD-FILE\n");
        return cannotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    try {
        ReviewCell cell(argv[2], argv[3], argv[4]);
        const int result = found->second(cell, hasTrouble);
        cell.record(result == 0 ? "the rule held" : result == 1 ? "the rule is broken" : "the case could not run");
        cell.entries.clear();
        std::quick_exit(result);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return cannotRun;
    }
}
