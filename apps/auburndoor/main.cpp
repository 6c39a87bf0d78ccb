#include "client/OperatorCommand.h"
#include "core/BuildVersion.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string_view>

ABSL_FLAG(std::string, server, "", "operators' address of an instance, ip:port");
ABSL_FLAG(std::string, token_file, "", "file with the operator's token");
ABSL_FLAG(bool, json, false, "print the reply as JSON");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(10), "time for the instance to decide");
ABSL_FLAG(long long, expected_version, -1, "apply: the version that must be in force; -1 for any");
ABSL_FLAG(std::string, operator, "", "apply: the name in the logbook");
ABSL_FLAG(std::string, key, "", "submit: idempotency key");
ABSL_FLAG(int, limit, 20, "logbook: entries to show");

using namespace auburndoor;

namespace {

/** Returns the arguments with hyphens in flag names replaced by underscores, because Abseil accepts only underscores. */
std::vector<std::string> normalizedArguments(int count, char **values)
{
    std::vector<std::string> arguments(values, values + count);
    for (auto &argument : arguments) {
        const auto end = std::min(argument.find('='), argument.size());
        for (std::size_t index = 2; argument.starts_with("--") && index < end; ++index) {
            argument[index] = argument[index] == '-' ? '_' : argument[index];
        }
    }
    return arguments;
}

std::string loginName()
{
    const auto *name = std::getenv("USER");
    return name == nullptr ? "unnamed" : name;
}

OperatorOptions readOptions()
{
    OperatorOptions options;
    options.server = absl::GetFlag(FLAGS_server);
    options.tokenFile = absl::GetFlag(FLAGS_token_file);
    options.isJson = absl::GetFlag(FLAGS_json);
    options.timeout = Milliseconds(absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_timeout)));
    if (absl::GetFlag(FLAGS_expected_version) >= 0) {
        options.expectedVersion = absl::GetFlag(FLAGS_expected_version);
    }
    options.operatorName = absl::GetFlag(FLAGS_operator);
    if (options.operatorName.empty()) {
        options.operatorName = loginName();
    }
    options.key = absl::GetFlag(FLAGS_key);
    options.limit = absl::GetFlag(FLAGS_limit);
    return options;
}

int showUsage(const std::vector<std::string> &arguments)
{
    const auto text = arguments.size() > 1 ? OperatorCommand::usage(arguments[1]) : std::string();
    std::cout << (text.empty() ? OperatorCommand::usage() : text);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = normalizedArguments(argc, argv);
    for (const auto &argument : arguments) {
        if (argument == "--help") {
            return showUsage(arguments);
        }
        if (argument == "--version") {
            std::cout << "auburndoor " << auburndoor::buildVersion() << '\n';
            return static_cast<int>(ExitCode::Done);
        }
    }
    if (arguments.size() < 2 || arguments[1].starts_with("-")) {
        std::cerr << OperatorCommand::usage();
        return static_cast<int>(ExitCode::Usage);
    }
    const auto subcommand = arguments[1];
    arguments.erase(arguments.begin() + 1);
    std::vector<char *> pointers;
    for (auto &argument : arguments) {
        pointers.push_back(argument.data());
    }
    // On an unknown or malformed flag, Abseil exits with code 1, which equals ExitCode::Usage.
    const auto positional = absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
    const auto options = readOptions();
    if (options.timeout < Milliseconds(1) || options.timeout > std::chrono::hours(1)) {
        std::cerr << "auburndoor: --timeout must be from 1ms to 1h\n";
        return static_cast<int>(ExitCode::Usage);
    }
    if (absl::GetFlag(FLAGS_expected_version) < -1) {
        std::cerr << "auburndoor: --expected-version must be at least 0\n";
        return static_cast<int>(ExitCode::Usage);
    }
    OperatorCommand command(options, std::cout, std::cerr);
    return static_cast<int>(command.run(subcommand, { positional.begin() + 1, positional.end() }));
}
