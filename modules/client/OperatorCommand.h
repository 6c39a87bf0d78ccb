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

/** The flags of the command line. */
struct OperatorOptions
{
    /** "ip:port" of the operators' listener of an instance. */
    std::string server;
    /** A file with the operator's token; empty for none. */
    std::string tokenFile;
    /** Print the reply as JSON. */
    bool isJson = false;
    /** How long the instance may take to decide; an apply may take 3 s more for the confirmations. */
    Milliseconds timeout { 10'000 };
    std::optional<long long> expectedVersion;
    /** The name that the logbook shows. */
    std::string operatorName;
    /** Idempotency key of a submitted job; empty for a new one. */
    std::string key;
    /** Entries of the logbook to show. */
    int limit = 20;
};

/** One call of the command line, from its arguments to its output and exit code. One thread. */
class OperatorCommand
{
public:
    /** @param output results @param errors problems and failures */
    OperatorCommand(const OperatorOptions &options, std::ostream &output, std::ostream &errors);

    /** Executes a subcommand. @param arguments what follows it, without flags */
    ExitCode run(const std::string &subcommand, const std::vector<std::string> &arguments);

    /** The list of subcommands, flags and exit codes. */
    static std::string usage();

    /** The help of one subcommand; empty if there is none of that name. */
    static std::string usage(const std::string &subcommand);

private:
    /** Prints what logs say of a job. */
    ExitCode tellStory(const std::vector<std::string> &arguments);

    /** What is asked of the instance. */
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
    ExitCode validateHere(const std::string &text);
    ExitCode exchange(const Call &call);
    ExitCode report(const Call &call, const HttpReply &reply);
    void printReply(const HttpReply &reply, bool isDone);
    ExitCode fail(ExitCode code, const std::string &message);

    OperatorOptions options_;
    std::ostream &output_;
    std::ostream &errors_;
};

} // namespace auburndoor
