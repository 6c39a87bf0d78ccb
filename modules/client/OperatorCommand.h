#pragma once

#include "client/ExitCode.h"
#include "core/Clock.h"

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

class OperatorClient;
struct HttpReply;

/** The options that the flags of the command line set. */
struct OperatorOptions
{
    /** "ip:port" of the operators' listener of an instance. */
    std::string server;
    /** A file with the operator's token; empty for none. */
    std::string tokenFile;
    /** True to print the reply as JSON. */
    bool isJson = false;
    /** Time for the instance to decide; an apply may take 3 s more for the confirmations. */
    Milliseconds timeout { 10'000 };
    /** The version that must be in force for an apply; empty for the one in force when the apply begins. */
    std::optional<long long> expectedVersion;
    /** The operator's name in the logbook. */
    std::string operatorName;
    /** Idempotency key of a submitted job; empty to generate one. */
    std::string key;
    /** Maximum number of logbook entries to show. */
    int limit = 20;
};

/** Executes one subcommand of the command line and reports its output and exit code. One thread. */
class OperatorCommand
{
public:
    /** @param output receives results @param errors receives problems and failures */
    OperatorCommand(const OperatorOptions &options, std::ostream &output, std::ostream &errors);

    /** Executes a subcommand. @param arguments the arguments after the subcommand, without flags */
    ExitCode run(const std::string &subcommand, const std::vector<std::string> &arguments);

    /** Returns the list of subcommands, flags and exit codes. */
    static std::string usage();

    /** Returns the help of one subcommand; empty if there is none of that name. */
    static std::string usage(const std::string &subcommand);

private:
    /** Prints the events of a job from log files, or from standard input if no file is given. */
    ExitCode printTimeline(const std::vector<std::string> &arguments);

    /** One HTTP request to the instance. */
    struct Call
    {
        std::string method = "GET";
        std::string path;
        std::string body;
        std::map<std::string, std::string> headers;
        Milliseconds timeout { 0 };
    };

    ExitCode checkOptions(const std::string &subcommand);
    std::optional<Call> makeCall(const std::string &subcommand, const std::string &argument, ExitCode &code);
    Call makeApply(const std::string &text) const;
    Call makeSubmit(const std::string &text);
    std::optional<std::string> readFile(const std::string &fileName, ExitCode &code);
    std::optional<std::string> readToken(ExitCode &code);
    ExitCode validateLocally(const std::string &text);
    ExitCode exchange(const Call &call);
    ExitCode report(const Call &call, const HttpReply &reply);
    void printReply(const HttpReply &reply, bool isSuccess);
    ExitCode fail(ExitCode code, const std::string &message);

    OperatorOptions options_;
    std::ostream &output_;
    std::ostream &errors_;
};

} // namespace auburndoor
