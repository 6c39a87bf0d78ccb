#include "client/OperatorCommand.h"

#include "client/JobTimeline.h"
#include "client/OperatorClient.h"
#include "client/TextRenderer.h"
#include "core/BoundedJson.h"
#include "core/Failure.h"
#include "core/JsonFields.h"
#include "core/RandomId.h"
#include "core/TextFile.h"
#include "declaration/DeclarationParser.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace auburndoor {

using Json = nlohmann::ordered_json;

namespace {

constexpr std::size_t maximumTokenBytes = 1024;
/** Added to the timeout of an apply: 3 s for the confirmations after the decision and 1 s for the network round trip. */
constexpr Milliseconds confirmationTimeout { 4000 };
constexpr auto applyPath = "/v1/configuration/apply";

bool isFileSubcommand(const std::string &subcommand)
{
    return subcommand == "validate" || subcommand == "plan" || subcommand == "apply" || subcommand == "submit";
}

bool takesArgument(const std::string &subcommand)
{
    return isFileSubcommand(subcommand) || subcommand == "explain" || subcommand == "cancel";
}

/** Returns true for a request that changes nothing, so that its outcome is known even if the reply is lost. */
bool isReadOnly(const std::string &method, const std::string &path)
{
    return method == "GET" || path == "/v1/configuration/validate" || path == "/v1/configuration/plan";
}

bool isFileUploadPath(const std::string &path)
{
    return path == "/v1/jobs" || path.starts_with("/v1/configuration/");
}

/** Returns the exit code for an HTTP status that is not a success. */
ExitCode exitCodeOf(int status, bool isFileUpload, bool isReadOnly)
{
    constexpr int badRequest = 400;
    constexpr int conflict = 409;
    constexpr int tooLarge = 413;
    constexpr int invalid = 422;
    constexpr int serverError = 500;
    constexpr int unavailable = 503;
    if (status == conflict) {
        return ExitCode::Conflict;
    }
    if (status == invalid || (isFileUpload && (status == badRequest || status == tooLarge))) {
        return ExitCode::InvalidFile;
    }
    // 503 means that the instance refused; after any other server error, such as an exception, the command may have taken effect.
    return status < serverError || status == unavailable || isReadOnly ? ExitCode::Refused : ExitCode::OutcomeUnknown;
}

} // namespace

OperatorCommand::OperatorCommand(const OperatorOptions &options, std::ostream &output, std::ostream &errors)
    : options_(options), output_(output), errors_(errors)
{
}

ExitCode OperatorCommand::fail(ExitCode code, const std::string &message)
{
    errors_ << "auburndoor: " << printable(message) << "\n";
    return code;
}

ExitCode OperatorCommand::run(const std::string &subcommand, const std::vector<std::string> &arguments)
{
    if (usage(subcommand).empty()) {
        return fail(ExitCode::Usage, "unknown subcommand \"" + subcommand + "\"; see auburndoor --help");
    }
    if (subcommand == "story") {
        return printTimeline(arguments);
    }
    const std::size_t expected = takesArgument(subcommand) ? 1 : 0;
    if (arguments.size() != expected) {
        return fail(ExitCode::Usage,
                    subcommand + " takes " + std::to_string(expected) + " argument(s); see auburndoor " + subcommand + " --help");
    }
    auto code = checkOptions(subcommand);
    if (code != ExitCode::Done) {
        return code;
    }
    if (subcommand == "validate" && options_.server.empty()) {
        const auto text = readFile(arguments.front(), code);
        return text ? validateLocally(*text) : code;
    }
    const auto call = makeCall(subcommand, arguments.empty() ? std::string() : arguments.front(), code);
    return call ? exchange(*call) : code;
}

ExitCode OperatorCommand::printTimeline(const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        return fail(ExitCode::Usage, "story takes a job and any number of log files; see auburndoor story --help");
    }
    JobTimeline timeline(arguments.front());
    if (arguments.size() == 1) {
        timeline.read(std::cin);
    }
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        std::ifstream file(arguments[index]);
        if (!file) {
            return fail(ExitCode::Usage, "cannot read " + arguments[index]);
        }
        timeline.read(file);
    }
    if (timeline.unreadableCount() > 0) {
        errors_ << "auburndoor: " << timeline.unreadableCount() << " lines are not log lines\n";
    }
    if (timeline.isEmpty()) {
        return fail(ExitCode::InvalidFile, "no log line names job " + arguments.front());
    }
    output_ << (options_.isJson ? timeline.json() : timeline.text());
    return ExitCode::Done;
}

ExitCode OperatorCommand::checkOptions(const std::string &subcommand)
{
    constexpr int maximumEntries = 1000;
    const auto isLocal = subcommand == "validate" && options_.server.empty();
    if (!isLocal && !isEndpoint(options_.server)) {
        return fail(ExitCode::Usage, "--server must be ip:port with an IPv4 address");
    }
    if (subcommand == "apply" && !isIdentifier(options_.operatorName)) {
        return fail(ExitCode::Usage, std::string("--operator must be ") + identifierRule);
    }
    if (!options_.key.empty() && !isIdentifier(options_.key)) {
        return fail(ExitCode::Usage, std::string("--key must be ") + identifierRule);
    }
    if (options_.limit < 1 || options_.limit > maximumEntries) {
        return fail(ExitCode::Usage, "--limit must be from 1 to " + std::to_string(maximumEntries));
    }
    return ExitCode::Done;
}

std::optional<std::string> OperatorCommand::readFile(const std::string &fileName, ExitCode &code)
{
    auto text = readTextFile(fileName, DeclarationParser::maximumFileBytes);
    if (!text) {
        code = fail(ExitCode::Usage, "cannot read " + fileName);
    }
    return text;
}

std::optional<std::string> OperatorCommand::readToken(ExitCode &code)
{
    if (options_.tokenFile.empty()) {
        return std::string();
    }
    auto token = readTextFile(options_.tokenFile, maximumTokenBytes);
    while (token && !token->empty() && (token->back() == '\n' || token->back() == '\r')) {
        token->pop_back();
    }
    // A line break in the token would inject further headers into the request.
    if (!token || token->empty() || token->size() > maximumTokenBytes || printable(*token) != *token) {
        code = fail(ExitCode::Usage, "cannot read a valid token from " + options_.tokenFile);
        return std::nullopt;
    }
    return token;
}

ExitCode OperatorCommand::validateLocally(const std::string &text)
{
    ValidationProblems problems;
    const auto declaration = DeclarationParser::parse(text, problems);
    if (!declaration) {
        if (options_.isJson) {
            output_ << toJson(problems) << "\n";
        } else {
            for (const auto &problem : problems) {
                errors_ << printable(problem.text()) << "\n";
            }
        }
        return ExitCode::InvalidFile;
    }
    const Json counts { { "services", declaration->services.size() },
                        { "teams", declaration->teams.size() },
                        { "jobs", declaration->jobs.size() } };
    output_ << (options_.isJson ? counts.dump() + "\n" : renderText(counts));
    return ExitCode::Done;
}

std::optional<OperatorCommand::Call> OperatorCommand::makeCall(const std::string &subcommand,
                                                               const std::string &argument,
                                                               ExitCode &code)
{
    std::string text;
    if (isFileSubcommand(subcommand)) {
        const auto read = readFile(argument, code);
        if (!read) {
            return std::nullopt;
        }
        text = *read;
    }
    const auto escaped = OperatorClient::escape(argument);
    if (subcommand == "validate" || subcommand == "plan") {
        return Call { "POST", "/v1/configuration/" + subcommand, text, {}, options_.timeout };
    }
    if (subcommand == "apply") {
        return makeApply(text);
    }
    if (subcommand == "submit") {
        return makeSubmit(text);
    }
    if (subcommand == "cancel") {
        return Call { "POST", "/v1/jobs/" + escaped + "/cancel", "{}", {}, options_.timeout };
    }
    if (subcommand == "drain") {
        return Call { "POST", "/v1/drain", "{}", {}, options_.timeout };
    }
    if (subcommand == "explain") {
        return Call { "GET", "/v1/explain/" + escaped, {}, {}, options_.timeout };
    }
    const auto query = subcommand == "logbook" ? "?limit=" + std::to_string(options_.limit) : std::string();
    return Call { "GET", "/v1/" + subcommand + query, {}, {}, options_.timeout };
}

OperatorCommand::Call OperatorCommand::makeApply(const std::string &text) const
{
    auto path = applyPath + std::string("?operator=") + OperatorClient::escape(options_.operatorName)
                + "&deadline-ms=" + std::to_string(options_.timeout.count());
    if (options_.expectedVersion) {
        path += "&expected-version=" + std::to_string(*options_.expectedVersion);
    }
    return { "POST", path, text, {}, options_.timeout + confirmationTimeout };
}

OperatorCommand::Call OperatorCommand::makeSubmit(const std::string &text)
{
    auto key = options_.key;
    if (key.empty()) {
        key = makeRandomId();
        errors_ << "idempotency key: " << key << "\n";
    }
    return { "POST", "/v1/jobs", text, { { "Idempotency-Key", key } }, options_.timeout };
}

ExitCode OperatorCommand::exchange(const Call &call)
{
    auto code = ExitCode::Done;
    const auto token = readToken(code);
    if (!token) {
        return code;
    }
    OperatorClient client(options_.server, *token, call.timeout);
    auto delivery = Delivery::NotSent;
    Failure failure;
    const auto reply = call.method == "GET" ? client.get(call.path, delivery, failure)
                                            : client.post(call.path, call.body, call.headers, delivery, failure);
    if (reply) {
        return report(call, *reply);
    }
    if (delivery == Delivery::NotSent || isReadOnly(call.method, call.path)) {
        return fail(ExitCode::Unreachable, "unreachable: " + failure.text());
    }
    return fail(ExitCode::OutcomeUnknown, "outcome unknown: " + failure.text());
}

ExitCode OperatorCommand::report(const Call &call, const HttpReply &reply)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirection = 300;
    const auto isSuccess = reply.status >= firstSuccess && reply.status < firstRedirection;
    printReply(reply, isSuccess);
    if (!isSuccess) {
        const auto path = call.path.substr(0, call.path.find('?'));
        return exitCodeOf(reply.status, isFileUploadPath(path), isReadOnly(call.method, path));
    }
    const auto value = parseBoundedJson(reply.body);
    if (!value.is_object()) {
        return isReadOnly(call.method, call.path)
                   ? fail(ExitCode::Refused, "the reply is not a JSON object")
                   : fail(ExitCode::OutcomeUnknown, "outcome unknown: the reply is not a JSON object");
    }
    if (!call.path.starts_with(applyPath)) {
        return ExitCode::Done;
    }
    if (!value.contains("unconfirmed") || !value["unconfirmed"].is_array()) {
        return fail(ExitCode::OutcomeUnknown, "outcome unknown: the reply does not list the unconfirmed instances");
    }
    return value["unconfirmed"].empty() ? ExitCode::Done : ExitCode::NotConfirmed;
}

void OperatorCommand::printReply(const HttpReply &reply, bool isSuccess)
{
    auto &stream = isSuccess || options_.isJson ? output_ : errors_;
    if (!isSuccess) {
        errors_ << "auburndoor: the instance replied with status " << reply.status << "\n";
    }
    const auto value = parseBoundedJson(reply.body);
    if (value.is_discarded()) {
        stream << (reply.body.empty() ? "" : printable(reply.body) + "\n");
    } else if (options_.isJson) {
        stream << value.dump(-1, ' ', true, Json::error_handler_t::replace) << "\n";
    } else {
        stream << renderText(value);
    }
}

} // namespace auburndoor
