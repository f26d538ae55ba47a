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

/// Calls one RPC and waits for its answer.
result<http_response>
Call(const ctl_options& aOptions,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody = {})
{
  loop events(kMaxConnections);
  http_client_options limits;
  limits.max_body_bytes = std::size_t{ 64 } << 20U;
  http_client client(events, aOptions.node, limits);
  http_request request;
  request.method = aMethod;
  request.path = aPath;
  request.body = aBody;
  request.headers.push_back({ "authorization", "Bearer " + aOptions.secret });
  if (!aBody.empty()) {
    request.headers.push_back({ "content-type", "application/json" });
  }
  http_result outcome = Fail(error_kind::internal, "no answer");
  client.Start(std::move(request),
               std::chrono::milliseconds(aOptions.timeout_ms),
               [&](http_result aResult) {
                 outcome = std::move(aResult);
                 events.Stop();
               });
  events.Run();
  return outcome;
}

/// Turns an answer with an error status into an error.
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

int
Report(const error& aFailure)
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
    return Report(aBody.error());
  }
  if (aOptions.json_output) {
    std::cout << aBody->dump(2) << "\n";
    return 0;
  }
  bool recorded = aBody->value("recorded", true);
  std::cout << (aOptions.dry_run ? "checked against version " : "version ")
            << aBody->value("version", 0)
            << (recorded ? "" : " (in force, not yet recorded in the store)")
            << (aBody->value("repeated", false) ? " (applied before)" : "")
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
Apply(const ctl_options& aOptions)
{
  json documents = json::array();
  for (std::size_t i = 1; i < aOptions.words.size(); ++i) {
    std::ifstream file(aOptions.words[i]);
    if (!file) {
      return Report(MakeError(error_kind::not_found,
                              "can't read '" + aOptions.words[i] + "'"));
    }
    std::stringstream text;
    text << file.rdbuf();
    result<json> content = ParseJson(text.str());
    if (!content) {
      error failure = content.error();
      failure.message = aOptions.words[i] + ": " + failure.message;
      return Report(failure);
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
      return Report(
        MakeError(error_kind::invalid_argument, "--expect must be a number"));
    }
    body["expected_version"] = *version;
  }
  return PrintChange(
    aOptions, BodyOf(Call(aOptions, "POST", "/v1/config/apply", body.dump())));
}

int
StartRollout(const ctl_options& aOptions)
{
  if (aOptions.words.size() != 4 || aOptions.by.empty()) {
    return Report(MakeError(error_kind::invalid_argument,
                            "rollout start SERVICE VERSION --by TIME"));
  }
  result<std::int64_t> by = ParseTime(aOptions.by, NowMs());
  if (!by) {
    return Report(by.error());
  }
  std::string id = OperationId(aOptions);
  json body = { { "operation_id", id },
                { "service", aOptions.words[2] },
                { "to", aOptions.words[3] },
                { "by_ms", *by },
                { "routes", aOptions.routes } };
  int code = PrintChange(
    aOptions, BodyOf(Call(aOptions, "POST", "/v1/rollouts", body.dump())));
  if (code == 0 && !aOptions.json_output) {
    std::cout << "rollout " << id << "\n";
  }
  return code;
}

int
ShowRollout(const ctl_options& aOptions, const std::string& aId, bool aWatch)
{
  std::string last;
  while (true) {
    result<json> status = BodyOf(Call(aOptions, "GET", "/v1/rollouts/" + aId));
    if (!status) {
      return Report(status.error());
    }
    std::string standing = status->value("standing", "");
    std::string now = standing + status->value("step", "") +
                      std::to_string(status->value("share_percent", 0.0));
    if (now != last) {
      PrintStatus(aOptions, *status);
      last = now;
    }
    if (!aWatch || standing == "done" || standing == "taken_back") {
      return 0;
    }
    std::this_thread::sleep_for(kWatchPeriod);
  }
}

int
History(const ctl_options& aOptions)
{
  result<json> body = BodyOf(Call(aOptions, "GET", "/v1/rollouts"));
  if (!body) {
    return Report(body.error());
  }
  for (const json& status : (*body)["rollouts"]) {
    PrintStatus(aOptions, status);
  }
  return 0;
}

int
Rollout(const ctl_options& aOptions)
{
  const std::vector<std::string>& words = aOptions.words;
  std::string action = words.size() > 1 ? words[1] : "";
  if (action == "start") {
    return StartRollout(aOptions);
  }
  if (action == "history" && words.size() == 2) {
    return History(aOptions);
  }
  if (words.size() != 3) {
    return Report(MakeError(error_kind::invalid_argument,
                            "rollout " + action + " needs the rollout's id"));
  }
  if (action == "status" || action == "watch") {
    return ShowRollout(aOptions, words[2], action == "watch");
  }
  if (action == "pause" || action == "resume" || action == "take-back") {
    json body = { { "operation_id", OperationId(aOptions) } };
    std::string path = "/v1/rollouts/" + words[2] + "/" + action;
    return PrintChange(aOptions,
                       BodyOf(Call(aOptions, "POST", path, body.dump())));
  }
  return Report(MakeError(error_kind::invalid_argument,
                          "unknown command 'rollout " + action + "'"));
}

int
Show(const ctl_options& aOptions, const std::string& aPath)
{
  result<http_response> response = Call(aOptions, "GET", aPath);
  if (!response) {
    return Report(response.error());
  }
  if (response->status >= 400 && aPath != "/v1/health") {
    return Report(BodyOf(response).error());
  }
  std::cout << response->body;
  return response->status < 400 ? 0 : 1;
}

int
Explain(const ctl_options& aOptions)
{
  if (aOptions.words.size() < 3) {
    return Report(
      MakeError(error_kind::invalid_argument, "explain REQUEST-ID FILE..."));
  }
  std::vector<log_record> records;
  for (std::size_t i = 2; i < aOptions.words.size(); ++i) {
    std::ifstream file(aOptions.words[i]);
    if (!file) {
      return Report(MakeError(error_kind::not_found,
                              "can't read '" + aOptions.words[i] + "'"));
    }
    log_content content = ReadLog(file);
    if (content.skipped > 0) {
      std::cerr << aOptions.words[i] << ": " << content.skipped
                << " lines are no log records\n";
    }
    records.insert(
      records.end(), content.records.begin(), content.records.end());
  }
  std::cout << TextOf(ExplainRequest(records, aOptions.words[1]));
  return 0;
}

int
Run(const ctl_options& aOptions)
{
  if (aOptions.words.empty()) {
    return Report(MakeError(error_kind::invalid_argument,
                            "a command is missing; see --help"));
  }
  const std::string& command = aOptions.words[0];
  if (command == "apply") {
    return Apply(aOptions);
  }
  if (command == "explain") {
    return Explain(aOptions);
  }
  if (command == "rollout") {
    return Rollout(aOptions);
  }
  struct plain_command
  {
    const char* name;
    const char* path;
  };
  constexpr plain_command kPlain[] = {
    { "config", "/v1/config" }, { "health", "/v1/health" },
    { "dump", "/v1/dump" },     { "metrics", "/metrics" },
    { "schema", "/v1/schema" },
  };
  for (const plain_command& plain : kPlain) {
    if (command == plain.name) {
      return Show(aOptions, plain.path);
    }
  }
  return Report(MakeError(error_kind::invalid_argument,
                          "unknown command '" + command + "'; see --help"));
}

} // namespace

int
main(int aCount, char** aArguments)
{
  result<ctl_options> options = ParseCtlOptions(aCount, aArguments);
  if (!options) {
    return Report(options.error());
  }
  if (options->help) {
    std::cout << options->help_text;
    return 0;
  }
  if (options->version) {
    std::cout << "eelgrasstrackctl " << EELGRASSTRACK_VERSION << "\n";
    return 0;
  }
  return Run(*options);
}
