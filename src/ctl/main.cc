#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

#include "base/hash.h"
#include "base/json-reader.h"
#include "ctl/options.h"
#include "diagnosis/request-explanation.h"
#include "http/client.h"

namespace {

using namespace eelgrasstrack;
using nlohmann::json;

constexpr unsigned kMaxConnections = 64;
constexpr std::chrono::milliseconds kWatchPeriod(500);

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Calls an RPC and waits for the answer.
result<http_response>
CallRpc(const ctl_options& aOptions,
        const std::string& aMethod,
        const std::string& aPath,
        const std::string& aBody = {})
{
  loop events(kMaxConnections);
  tcp_transport sockets(events);
  http_client_options limits;
  limits.max_body_bytes = std::size_t{ 64 } << 20U;
  http_client client(sockets, aOptions.node, limits);
  http_request request;
  request.method = aMethod;
  request.path = aPath;
  request.body = aBody;
  request.headers.push_back({ "authorization", "Bearer " + aOptions.secret });
  if (!aBody.empty()) {
    request.headers.push_back({ "content-type", "application/json" });
  }
  http_result outcome = Fail(error_kind::internal, "the node did not answer");
  client.Start(std::move(request),
               std::chrono::milliseconds(aOptions.timeout_ms),
               [&](http_result aResult) {
                 outcome = std::move(aResult);
                 events.Stop();
               });
  events.Run();
  return outcome;
}

/// Parses the body of an answer. An error answer is returned as an error.
result<json>
BodyOf(const result<http_response>& aResponse)
{
  if (!aResponse) {
    return tl::unexpected<error>(aResponse.error());
  }
  result<json> body = ParseJson(aResponse->body);
  bool failed = aResponse->status >= 400;
  if (failed && body && body->contains("error")) {
    error failure;
    failure.kind = ErrorKindFromName(body->value("error", ""))
                     .value_or(error_kind::internal);
    failure.message = body->value("message", "");
    failure.execution_status = body->value("execution", "") == "not_run"
                                 ? execution::not_run
                                 : execution::unknown;
    return tl::unexpected<error>(failure);
  }
  return body;
}

/// Prints an error and returns the exit status for its kind.
int
PrintError(const error& aFailure)
{
  std::fprintf(stderr,
               "eelgrasstrackctl: %s: %s (%s)\n",
               std::string(NameOf(aFailure.kind)).c_str(),
               aFailure.message.c_str(),
               std::string(NameOf(aFailure.execution_status)).c_str());
  return MappingOf(aFailure.kind).exit_code;
}

int
PrintChange(const ctl_options& aOptions, const result<json>& aBody)
{
  if (!aBody) {
    return PrintError(aBody.error());
  }
  if (aOptions.json_output) {
    std::cout << aBody->dump(2) << "\n";
    return 0;
  }
  bool recorded = aBody->value("recorded", true);
  std::cout << (aOptions.dry_run ? "checked against version " : "version ")
            << aBody->value("version", 0)
            << (recorded ? "" : " (in force, not yet recorded in the store)")
            << (aBody->value("repeated", false) ? " (already applied)" : "")
            << "\n";
  for (const json& key : (*aBody)["changed"]) {
    std::cout << "  changed " << key.get<std::string>() << "\n";
  }
  return 0;
}

void
PrintStatus(const ctl_options& aOptions, const json& aStatus)
{
  if (aOptions.json_output) {
    std::cout << aStatus.dump() << std::endl;
    return;
  }
  std::cout << aStatus.value("id", "") << " " << aStatus.value("standing", "")
            << ": " << aStatus.value("says", "") << std::endl;
}

std::string
OperationId(const ctl_options& aOptions)
{
  if (!aOptions.operation_id.empty()) {
    return aOptions.operation_id;
  }
  std::random_device device;
  std::uint64_t value = (std::uint64_t{ device() } << 32U) | device();
  return "op-" + HexOf(value);
}

int
ApplyFiles(const ctl_options& aOptions)
{
  json documents = json::array();
  for (std::size_t i = 1; i < aOptions.arguments.size(); ++i) {
    std::ifstream file(aOptions.arguments[i]);
    if (!file) {
      return PrintError(
        MakeError(error_kind::not_found,
                  "cannot read file '" + aOptions.arguments[i] + "'"));
    }
    std::stringstream text;
    text << file.rdbuf();
    result<json> content = ParseJson(text.str());
    if (!content) {
      error failure = content.error();
      failure.message = aOptions.arguments[i] + ": " + failure.message;
      return PrintError(failure);
    }
    json list = content->is_array() ? *content : json::array({ *content });
    documents.insert(documents.end(), list.begin(), list.end());
  }
  json body = { { "operation_id", OperationId(aOptions) },
                { "documents", documents },
                { "removed", aOptions.removed },
                { "dry_run", aOptions.dry_run } };
  if (!aOptions.expected_version.empty()) {
    result<std::int64_t> version = ParseTime(aOptions.expected_version, 0);
    if (!version || aOptions.expected_version[0] == '+') {
      return PrintError(MakeError(error_kind::invalid_argument,
                                  "--expect: must be a version number"));
    }
    body["expected_version"] = *version;
  }
  return PrintChange(
    aOptions,
    BodyOf(CallRpc(aOptions, "POST", "/v1/config/apply", body.dump())));
}

int
StartRollout(const ctl_options& aOptions)
{
  if (aOptions.arguments.size() != 4 || aOptions.deadline.empty()) {
    return PrintError(
      MakeError(error_kind::invalid_argument,
                "usage: rollout start SERVICE VERSION --by TIME"));
  }
  result<std::int64_t> by = ParseTime(aOptions.deadline, NowMs());
  if (!by) {
    return PrintError(by.error());
  }
  std::string id = OperationId(aOptions);
  json body = { { "operation_id", id },
                { "service", aOptions.arguments[2] },
                { "to", aOptions.arguments[3] },
                { "by_ms", *by },
                { "routes", aOptions.routes } };
  int code = PrintChange(
    aOptions, BodyOf(CallRpc(aOptions, "POST", "/v1/rollouts", body.dump())));
  if (code == 0 && !aOptions.json_output) {
    std::cout << "rollout " << id << "\n";
  }
  return code;
}

/// Prints the status of a rollout; with `aWatch`, each change until it ends.
int
PrintRollout(const ctl_options& aOptions, const std::string& aId, bool aWatch)
{
  std::string printed;
  while (true) {
    result<json> status =
      BodyOf(CallRpc(aOptions, "GET", "/v1/rollouts/" + aId));
    if (!status) {
      return PrintError(status.error());
    }
    std::string phase = status->value("standing", "");
    std::string current = phase + status->value("step", "") +
                          std::to_string(status->value("share_percent", 0.0));
    if (current != printed) {
      PrintStatus(aOptions, *status);
      printed = current;
    }
    if (!aWatch || phase == "done" || phase == "taken_back") {
      return 0;
    }
    std::this_thread::sleep_for(kWatchPeriod);
  }
}

int
PrintHistory(const ctl_options& aOptions)
{
  result<json> body = BodyOf(CallRpc(aOptions, "GET", "/v1/rollouts"));
  if (!body) {
    return PrintError(body.error());
  }
  for (const json& status : (*body)["rollouts"]) {
    PrintStatus(aOptions, status);
  }
  return 0;
}

int
RunRolloutCommand(const ctl_options& aOptions)
{
  const std::vector<std::string>& arguments = aOptions.arguments;
  std::string action = arguments.size() > 1 ? arguments[1] : "";
  if (action == "start") {
    return StartRollout(aOptions);
  }
  if (action == "history" && arguments.size() == 2) {
    return PrintHistory(aOptions);
  }
  if (arguments.size() != 3) {
    return PrintError(
      MakeError(error_kind::invalid_argument,
                "rollout " + action + " requires exactly one rollout id"));
  }
  if (action == "status" || action == "watch") {
    return PrintRollout(aOptions, arguments[2], action == "watch");
  }
  if (action == "pause" || action == "resume" || action == "take-back") {
    json body = { { "operation_id", OperationId(aOptions) } };
    std::string path = "/v1/rollouts/" + arguments[2] + "/" + action;
    return PrintChange(aOptions,
                       BodyOf(CallRpc(aOptions, "POST", path, body.dump())));
  }
  return PrintError(MakeError(error_kind::invalid_argument,
                              "unknown command 'rollout " + action + "'"));
}

/// Prints the resource at a path and returns the exit status.
int
PrintResource(const ctl_options& aOptions, const std::string& aPath)
{
  result<http_response> response = CallRpc(aOptions, "GET", aPath);
  if (!response) {
    return PrintError(response.error());
  }
  if (response->status >= 400 && aPath != "/v1/health") {
    return PrintError(BodyOf(response).error());
  }
  std::cout << response->body;
  return response->status < 400 ? 0 : 1;
}

int
Explain(const ctl_options& aOptions)
{
  if (aOptions.arguments.size() < 3) {
    return PrintError(MakeError(error_kind::invalid_argument,
                                "usage: explain REQUEST-ID FILE..."));
  }
  std::vector<log_record> records;
  for (std::size_t i = 2; i < aOptions.arguments.size(); ++i) {
    std::ifstream file(aOptions.arguments[i]);
    if (!file) {
      return PrintError(
        MakeError(error_kind::not_found,
                  "cannot read file '" + aOptions.arguments[i] + "'"));
    }
    log_content content = ReadLog(file);
    if (content.skipped > 0) {
      std::cerr << aOptions.arguments[i] << ": " << content.skipped
                << " lines skipped, not log records\n";
    }
    records.insert(
      records.end(), content.records.begin(), content.records.end());
  }
  std::cout << TextOf(ExplainRequest(records, aOptions.arguments[1]));
  return 0;
}

int
RunCommand(const ctl_options& aOptions)
{
  if (aOptions.arguments.empty()) {
    return PrintError(
      MakeError(error_kind::invalid_argument, "no command given; see --help"));
  }
  const std::string& command = aOptions.arguments[0];
  if (command == "apply") {
    return ApplyFiles(aOptions);
  }
  if (command == "explain") {
    return Explain(aOptions);
  }
  if (command == "rollout") {
    return RunRolloutCommand(aOptions);
  }
  struct get_command
  {
    const char* name;
    const char* path;
  };
  constexpr get_command kGetCommands[] = {
    { "config", "/v1/config" }, { "health", "/v1/health" },
    { "dump", "/v1/dump" },     { "metrics", "/metrics" },
    { "schema", "/v1/schema" },
  };
  for (const get_command& entry : kGetCommands) {
    if (command == entry.name) {
      return PrintResource(aOptions, entry.path);
    }
  }
  return PrintError(MakeError(error_kind::invalid_argument,
                              "unknown command '" + command + "'; see --help"));
}

} // namespace

int
main(int aCount, char** aArguments)
{
  result<ctl_options> options = ParseCtlOptions(aCount, aArguments);
  if (!options) {
    return PrintError(options.error());
  }
  if (options->help) {
    std::cout << options->help_text;
    return 0;
  }
  if (options->version) {
    std::cout << "eelgrasstrackctl " << EELGRASSTRACK_VERSION << "\n";
    return 0;
  }
  return RunCommand(*options);
}
