// Help texts of OperatorCommand.

#include "client/OperatorCommand.h"

#include <algorithm>

namespace auburndoor {

namespace {

struct SubcommandHelp
{
    const char *name;
    const char *arguments;
    const char *summary;
    const char *details;
};

constexpr SubcommandHelp subcommands[] = {
    { "validate",
      "FILE",
      "checks a declarative file",
      "Without --server the file is checked here. All problems are listed, each with its path, value and allowed range.\n" },
    { "plan",
      "FILE",
      "shows what a declarative file would change",
      "The reply names the version in force; give it to apply as --expected-version.\n" },
    { "apply",
      "FILE",
      "makes a declarative file the configuration in force, whole or not at all",
      "  --expected-version N  refuse (exit code 3) unless version N is in force; without it, the version in force when the apply "
      "begins\n"
      "  --operator NAME       the name in the logbook; default: the login name\n" },
    { "status", "", "shows the state of the addressed instance and its peers", "" },
    { "jobs", "", "lists the jobs", "" },
    { "explain", "ID", "tells why a request or job runs where it does, waits, or was refused", "" },
    { "story",
      "JOB|TASK [FILE...]",
      "tells from the logs of entry processes what happened to a job or a task, in order",
      "A task is named as JOB.OCCURRENCE.STEP.INDEX. Reads the files, or standard input. Needs no --server. The longest wait is "
      "marked. Exit code 2: no line names the job.\n" },
    { "cancel", "JOB", "cancels a job", "A repeated cancel does no harm.\n" },
    { "drain", "", "asks the addressed instance to shut down gracefully", "A repeated drain does no harm.\n" },
    { "logbook", "", "shows who applied what and when, newest first", "  --limit N  entries to show; default 20\n" },
    { "submit",
      "FILE",
      "submits a job",
      "  --key KEY  idempotency key; a repeated submit with the same key makes no second job; default: a new key, which is "
      "printed\n" },
};

constexpr auto commonFlags
    = "  --server IP:PORT   operators' address of an instance\n"
      "  --token-file FILE  file with the operator's token\n"
      "  --json             print the reply as JSON\n"
      "  --timeout DURATION time for the instance to decide, such as 5s; default 10s; apply may take 4 s more\n"
      "  --help             this text\n";

constexpr auto exitCodes = "Exit codes:\n"
                           "  0 done\n"
                           "  1 wrong usage, or a file that cannot be read; nothing was sent\n"
                           "  2 the file is invalid\n"
                           "  3 conflict: another version than the expected one is in force\n"
                           "  4 refused; nothing has changed\n"
                           "  5 unreachable; nothing has changed\n"
                           "  6 outcome unknown: the command may have taken effect\n"
                           "  7 accepted, but not confirmed by every live instance in time\n";

} // namespace

std::string OperatorCommand::usage()
{
    std::string text = "usage: auburndoor SUBCOMMAND [ARGUMENT] [FLAGS]\n\nSubcommands:\n";
    constexpr std::size_t width = 16;
    for (const auto &subcommand : subcommands) {
        auto line = std::string(subcommand.name) + " " + subcommand.arguments;
        line.resize(std::max(line.size() + 1, width), ' ');
        text += "  " + line + subcommand.summary + "\n";
    }
    return text + "\nFlags of all subcommands:\n" + commonFlags + "\n" + exitCodes;
}

std::string OperatorCommand::usage(const std::string &subcommand)
{
    for (const auto &known : subcommands) {
        if (subcommand == known.name) {
            auto text = "usage: auburndoor " + subcommand + " " + known.arguments;
            text += text.back() == ' ' ? "[FLAGS]\n\n" : " [FLAGS]\n\n";
            text += std::string(known.summary) + "\n" + known.details;
            text += std::string("\nFlags:\n") + commonFlags + "\n" + exitCodes;
            return text;
        }
    }
    return {};
}

} // namespace auburndoor
