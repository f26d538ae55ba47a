#include "rpc/operator-api.h"

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "http/error-response.h"
#include "rollout/rollout-description.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

/// HTTP status of a change that is in force but not yet written to the store.
constexpr int kAccepted = 202;

void
RespondJson(http_exchange& aExchange, const json& aBody, int aStatus = 200)
{
  http_response response;
  response.status = aStatus;
  response.headers.push_back({ "content-type", "application/json" });
  response.body =
    aBody.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
  aExchange.Respond(std::move(response));
}

void
RespondText(http_exchange& aExchange, std::string aText, const char* aType)
{
  http_response response;
  response.headers.push_back({ "content-type", aType });
  response.body = std::move(aText);
  aExchange.Respond(std::move(response));
}

change_callback
RespondWithChange(const std::shared_ptr<http_exchange>& aExchange)
{
  return [aExchange](result<change_answer> aAnswer) {
    if (!aAnswer) {
      aExchange->Respond(ErrorResponse(aAnswer.error()));
      return;
    }
    json body = { { "version", aAnswer->version },
                  { "changed", aAnswer->changed },
                  { "repeated", aAnswer->already_applied },
                  { "recorded", aAnswer->recorded } };
    RespondJson(*aExchange, body, aAnswer->recorded ? 200 : kAccepted);
  };
}

json
RenderStatus(const rollout_status& aStatus, std::int64_t aNowMs)
{
  const rollout_declaration& rollout = aStatus.declared;
  json routes = json::object();
  for (const auto& [route, evidence] : aStatus.routes) {
    auto counts = [](const outcome_counts& aCounts) {
      return json{ { "trials", aCounts.trials },
                   { "failures", aCounts.failures },
                   { "timed", aCounts.timed },
                   { "slow", aCounts.slow } };
    };
    routes[route] = { { "old", counts(evidence.old_version) },
                      { "new", counts(evidence.new_version) } };
  }
  std::uint64_t exposed =
    rollout.IsOpen() ? aStatus.totals.callers_exposed : rollout.callers_exposed;
  std::uint64_t hurt =
    rollout.IsOpen() ? aStatus.totals.callers_hurt : rollout.callers_hurt;
  return { { "id", rollout.id },
           { "service", rollout.service },
           { "from", rollout.from_version },
           { "to", rollout.to_version },
           { "standing", StatusNameOf(aStatus) },
           { "says", DescribeRollout(aStatus, aNowMs) },
           { "share_percent", aStatus.state.share / 100.0 },
           { "start_ms", rollout.start_unix_ms },
           { "by_ms", rollout.deadline_unix_ms },
           { "ended_ms", rollout.ended_unix_ms },
           { "reason", rollout.reason },
           { "callers_exposed", exposed },
           { "callers_hurt", hurt },
           { "step", NameOf(aStatus.plan.step) },
           { "next_ms", aStatus.plan.next_ms },
           { "on_time", aStatus.plan.on_time },
           { "collector", aStatus.is_collector },
           { "ejected", aStatus.state.ejected },
           { "evidence",
             { { "strongest", aStatus.greatest_statistic },
               { "threshold", aStatus.threshold },
               { "routes", std::move(routes) } } } };
}

/// Splits a path before each slash: `/a/b` becomes `/a` and `/b`.
std::vector<std::string_view>
SplitPath(std::string_view aPath)
{
  std::vector<std::string_view> segments;
  while (!aPath.empty()) {
    std::size_t end = aPath.find('/', 1);
    segments.push_back(aPath.substr(0, end));
    aPath =
      end == std::string_view::npos ? std::string_view{} : aPath.substr(end);
  }
  return segments;
}

/// Whether a path matches a pattern. Sets `aId` to the segment at `{id}`.
bool
MatchesPattern(std::string_view aPattern,
               std::string_view aPath,
               std::string& aId)
{
  std::vector<std::string_view> pattern = SplitPath(aPattern);
  std::vector<std::string_view> path = SplitPath(aPath);
  if (pattern.size() != path.size()) {
    return false;
  }
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (pattern[i] == "/{id}") {
      aId = std::string(path[i].substr(1));
    } else if (pattern[i] != path[i]) {
      return false;
    }
  }
  return true;
}

} // namespace

operator_api::operator_api(operator_backend& aBackend,
                           operator_api_options aOptions)
  : mBackend(aBackend)
  , mOptions(std::move(aOptions))
{
}

const std::vector<operator_api::rpc_definition>&
operator_api::RpcDefinitions()
{
  using api = operator_api;
  static const std::vector<rpc_definition> sDefinitions{
    { "GET", "/v1/health", "", false, &api::Health },
    { "GET", "/v1/schema", "", true, &api::Schema },
    { "GET", "/v1/config", "", true, &api::GetConfig },
    { "POST", "/v1/config/apply", "ApplyRequest", true, &api::Apply },
    { "GET", "/v1/rollouts", "", true, &api::ListRollouts },
    { "POST", "/v1/rollouts", "StartRolloutRequest", true, &api::StartRollout },
    { "GET", "/v1/rollouts/{id}", "", true, &api::GetRollout },
    { "POST",
      "/v1/rollouts/{id}/pause",
      "RolloutCommandRequest",
      true,
      &api::PauseRollout },
    { "POST",
      "/v1/rollouts/{id}/resume",
      "RolloutCommandRequest",
      true,
      &api::ResumeRollout },
    { "POST",
      "/v1/rollouts/{id}/take-back",
      "RolloutCommandRequest",
      true,
      &api::RollBackRollout },
    { "POST",
      "/v1/upstream",
      "UpstreamAnnouncement",
      false,
      &api::AnnounceUpstream },
    { "GET", "/v1/dump", "", true, &api::Dump },
    { "GET", "/metrics", "", true, &api::Metrics },
  };
  return sDefinitions;
}

bool
operator_api::Authorized(const http_request& aRequest) const
{
  return EqualInConstantTime(HeaderValue(aRequest.headers, "authorization"),
                             "Bearer " + mOptions.secret);
}

void
operator_api::Handle(std::shared_ptr<http_exchange> aExchange)
{
  const http_request& request = aExchange->Request();
  for (const rpc_definition& rpc : RpcDefinitions()) {
    std::string id;
    if (rpc.method != request.method ||
        !MatchesPattern(rpc.path, request.path, id)) {
      continue;
    }
    if (rpc.needs_secret && !Authorized(request)) {
      aExchange->Respond(ErrorResponse(MakeError(
        error_kind::unauthorized, "the operator secret is missing or wrong")));
      return;
    }
    if (!rpc.schema.empty()) {
      result<void> checked =
        mValidator.Check(std::string(rpc.schema), request.body);
      if (!checked) {
        aExchange->Respond(ErrorResponse(checked.error()));
        return;
      }
    }
    (this->*rpc.call)(aExchange, id);
    return;
  }
  aExchange->Respond(ErrorResponse(
    MakeError(error_kind::not_found,
              "unknown RPC: " + request.method + " " + request.path)));
}

void
operator_api::Health(const exchange_ptr& aExchange, const std::string&)
{
  bool serving = mBackend.IsServing();
  RespondJson(*aExchange, { { "serving", serving } }, serving ? 200 : 503);
}

void
operator_api::Schema(const exchange_ptr& aExchange, const std::string&)
{
  RespondText(
    *aExchange, std::string(OperatorSchemaText()), "application/json");
}

void
operator_api::GetConfig(const exchange_ptr& aExchange, const std::string&)
{
  snapshot_ptr config = mBackend.CurrentConfig();
  json documents = json::object();
  for (const auto& [key, text] : config->documents) {
    documents[key] = json::parse(text);
  }
  RespondJson(*aExchange,
              { { "version", config->version },
                { "hash", HexOf(config->hash) },
                { "documents", std::move(documents) } });
}

void
operator_api::Apply(const exchange_ptr& aExchange, const std::string&)
{
  json body = json::parse(aExchange->Request().body);
  apply_request request;
  request.operation_id = body["operation_id"].get<std::string>();
  request.dry_run = body.value("dry_run", false);
  if (body.contains("expected_version")) {
    request.expected_version = body["expected_version"].get<std::uint64_t>();
  }
  request.removed = body.value("removed", std::vector<std::string>{});
  if (body.contains("documents") && !body["documents"].empty()) {
    result<std::vector<config_document>> documents =
      ReadDeclarations(body["documents"].dump());
    if (!documents) {
      aExchange->Respond(ErrorResponse(documents.error()));
      return;
    }
    request.documents = std::move(*documents);
  }
  mBackend.Apply(std::move(request), RespondWithChange(aExchange));
}

void
operator_api::ListRollouts(const exchange_ptr& aExchange, const std::string&)
{
  json list = json::array();
  for (const auto& [id, rollout] : mBackend.CurrentConfig()->rollouts) {
    std::optional<rollout_status> status = mBackend.RolloutStatus(id);
    list.push_back(RenderStatus(*status, mBackend.UnixMilliseconds()));
  }
  RespondJson(*aExchange, { { "rollouts", std::move(list) } });
}

void
operator_api::StartRollout(const exchange_ptr& aExchange, const std::string&)
{
  json body = json::parse(aExchange->Request().body);
  start_rollout_request request;
  request.operation_id = body["operation_id"].get<std::string>();
  request.service = body["service"].get<std::string>();
  request.to_version = body["to"].get<std::string>();
  request.deadline_unix_ms = body["by_ms"].get<std::int64_t>();
  request.routes = body.value("routes", std::vector<std::string>{});
  mBackend.StartRollout(std::move(request), RespondWithChange(aExchange));
}

void
operator_api::GetRollout(const exchange_ptr& aExchange, const std::string& aId)
{
  std::optional<rollout_status> status = mBackend.RolloutStatus(aId);
  if (!status) {
    aExchange->Respond(ErrorResponse(MakeError(
      error_kind::not_found, "rollout '" + aId + "' does not exist")));
    return;
  }
  RespondJson(*aExchange, RenderStatus(*status, mBackend.UnixMilliseconds()));
}

void
operator_api::ChangeRollout(const exchange_ptr& aExchange,
                            const std::string& aId,
                            rollout_command aCommand)
{
  json body = json::parse(aExchange->Request().body);
  mBackend.ChangeRollout(aId,
                         aCommand,
                         body["operation_id"].get<std::string>(),
                         RespondWithChange(aExchange));
}

void
operator_api::PauseRollout(const exchange_ptr& aExchange,
                           const std::string& aId)
{
  ChangeRollout(aExchange, aId, rollout_command::pause);
}

void
operator_api::ResumeRollout(const exchange_ptr& aExchange,
                            const std::string& aId)
{
  ChangeRollout(aExchange, aId, rollout_command::resume);
}

void
operator_api::RollBackRollout(const exchange_ptr& aExchange,
                              const std::string& aId)
{
  ChangeRollout(aExchange, aId, rollout_command::roll_back);
}

void
operator_api::AnnounceUpstream(const exchange_ptr& aExchange,
                               const std::string&)
{
  if (aExchange->Request().remote_address != mOptions.upstream_address) {
    aExchange->Respond(
      ErrorResponse(MakeError(error_kind::unauthorized,
                              "upstream announcements are accepted from " +
                                mOptions.upstream_address + " only")));
    return;
  }
  json body = json::parse(aExchange->Request().body);
  upstream_announcement upstream;
  upstream.service = body["service"].get<std::string>();
  upstream.version = body["version"].get<std::string>();
  upstream.address = body["address"].get<std::string>();
  upstream.slots = body.value("slots", 0U);
  upstream.leaving = body.value("leaving", false);
  result<void> announced = mBackend.AnnounceUpstream(upstream);
  if (!announced) {
    aExchange->Respond(ErrorResponse(announced.error()));
    return;
  }
  RespondJson(*aExchange, { { "taken", true } });
}

void
operator_api::Dump(const exchange_ptr& aExchange, const std::string&)
{
  RespondText(*aExchange, mBackend.Dump(), "application/json");
}

void
operator_api::Metrics(const exchange_ptr& aExchange, const std::string&)
{
  RespondText(*aExchange, mBackend.Metrics(), "text/plain; version=0.0.4");
}

} // namespace eelgrasstrack
