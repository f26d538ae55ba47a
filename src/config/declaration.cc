#include "config/declaration.h"

#include <algorithm>
#include <array>

#include "base/json-reader.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxDocuments = 1000;
constexpr std::size_t kMaxRoutesPerDocument = 2000;
constexpr std::size_t kMaxPathBytes = 1024;
constexpr std::int64_t kMaxSlots = 10000;
constexpr std::int64_t kMaxTimeoutMs = 600000;
constexpr std::array<std::string_view, 4> kPhaseNames{ "running",
                                                       "paused",
                                                       "done",
                                                       "taken_back" };
constexpr std::array<std::string_view, 7> kMethods{ "GET",    "HEAD",  "POST",
                                                    "PUT",    "PATCH", "DELETE",
                                                    "OPTIONS" };

result<service_declaration>
ParseService(const json& aBody, const std::string& aPlace)
{
  json_reader reader(aBody, aPlace);
  service_declaration service;
  reader.MarkKnown("kind");
  service.name = reader.Name("name");
  service.version = reader.Name("version");
  service.slots =
    static_cast<std::uint32_t>(reader.IntegerOr("slots", 1, kMaxSlots, 8));
  service.connections = static_cast<std::uint32_t>(
    reader.IntegerOr("connections", 1, kMaxSlots, 100));
  service.queue =
    static_cast<std::uint32_t>(reader.IntegerOr("queue", 0, kMaxSlots, 32));
  service.warm_up_ms = static_cast<std::uint32_t>(
    reader.IntegerOr("warm_up_ms", 0, kMaxTimeoutMs, 5000));
  if (service.connections < service.slots) {
    reader.ReportInvalid("connections", "must not be less than slots");
  }
  result<void> finished = reader.Finish();
  if (!finished) {
    return tl::unexpected<error>(finished.error());
  }
  return service;
}

result<route_declaration>
ParseRoute(const json& aBody, const std::string& aPlace)
{
  json_reader reader(aBody, aPlace);
  route_declaration route;
  route.name = reader.Name("name");
  route.host = reader.StringOr("host", kMaxPathBytes, "");
  route.path_prefix = reader.String("path_prefix", kMaxPathBytes);
  route.methods = reader.StringsOr("methods", kMethods.size(), {});
  route.service = reader.Name("service");
  route.timeout_ms = static_cast<std::uint32_t>(
    reader.IntegerOr("timeout_ms", 1, kMaxTimeoutMs, 5000));
  route.repeatable = reader.BooleanOr("repeatable", false);
  if (!route.path_prefix.empty() && route.path_prefix[0] != '/') {
    reader.ReportInvalid("path_prefix", "must begin with '/'");
  }
  for (const std::string& method : route.methods) {
    if (std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end()) {
      reader.ReportInvalid("methods", "has an unknown method '" + method + "'");
    }
  }
  result<void> finished = reader.Finish();
  if (!finished) {
    return tl::unexpected<error>(finished.error());
  }
  return route;
}

result<std::vector<route_declaration>>
ParseRoutes(const json& aBody, const std::string& aPlace)
{
  json_reader reader(aBody, aPlace);
  reader.MarkKnown("kind");
  reader.Name("name");
  const json* list = reader.Array("routes", kMaxRoutesPerDocument);
  result<void> finished = reader.Finish();
  if (!finished) {
    return tl::unexpected<error>(finished.error());
  }
  std::vector<route_declaration> routes;
  for (std::size_t i = 0; i < list->size(); ++i) {
    result<route_declaration> route =
      ParseRoute((*list)[i], aPlace + ".routes[" + std::to_string(i) + "]");
    if (!route) {
      return tl::unexpected<error>(route.error());
    }
    routes.push_back(std::move(*route));
  }
  return routes;
}

result<rollout_declaration>
ParseRollout(const json& aBody, const std::string& aPlace)
{
  json_reader reader(aBody, aPlace);
  rollout_declaration rollout;
  reader.MarkKnown("kind");
  rollout.id = reader.Name("id");
  rollout.service = reader.Name("service");
  rollout.from_version = reader.Name("from");
  rollout.to_version = reader.Name("to");
  rollout.routes = reader.StringsOr("routes", kMaxRoutesPerDocument, {});
  rollout.start_unix_ms = reader.Integer("start_ms", 0, INT64_MAX);
  rollout.deadline_unix_ms = reader.Integer("by_ms", 0, INT64_MAX);
  std::string phase = reader.String("phase", 16);
  auto found = std::find(kPhaseNames.begin(), kPhaseNames.end(), phase);
  if (found == kPhaseNames.end()) {
    reader.ReportInvalid("phase", "is not a known phase");
  } else {
    rollout.phase =
      static_cast<rollout_phase>(std::distance(kPhaseNames.begin(), found));
  }
  rollout.reason = reader.StringOr("reason", 4096, "");
  rollout.ended_unix_ms = reader.IntegerOr("ended_ms", 0, INT64_MAX, 0);
  rollout.callers_exposed = static_cast<std::uint64_t>(
    reader.IntegerOr("callers_exposed", 0, INT64_MAX, 0));
  rollout.callers_hurt = static_cast<std::uint64_t>(
    reader.IntegerOr("callers_hurt", 0, INT64_MAX, 0));
  result<void> finished = reader.Finish();
  if (!finished) {
    return tl::unexpected<error>(finished.error());
  }
  return rollout;
}

result<config_document>
ReadDeclaration(const json& aBody, const std::string& aPlace)
{
  if (!aBody.is_object()) {
    return Fail(error_kind::invalid_argument, aPlace + ": must be an object");
  }
  auto kind = aBody.find("kind");
  if (kind == aBody.end() || !kind->is_string() ||
      (*kind != "service" && *kind != "routes")) {
    return Fail(error_kind::invalid_argument,
                aPlace + ".kind: must be 'service' or 'routes'");
  }
  result<void> checked = *kind == "service"
                           ? ParseService(aBody, aPlace).map([](const auto&) {})
                           : ParseRoutes(aBody, aPlace).map([](const auto&) {});
  if (!checked) {
    return tl::unexpected<error>(checked.error());
  }
  return config_document{ kind->get<std::string>() + "/" +
                            aBody["name"].get<std::string>(),
                          aBody.dump() };
}

} // namespace

std::string_view
NameOf(rollout_phase aPhase)
{
  return kPhaseNames[static_cast<std::size_t>(aPhase)];
}

bool
rollout_declaration::Covers(std::string_view aRoute) const
{
  return routes.empty() ||
         std::find(routes.begin(), routes.end(), aRoute) != routes.end();
}

result<std::vector<config_document>>
ReadDeclarations(std::string_view aText)
{
  result<json> parsed = ParseJson(aText);
  if (!parsed) {
    return tl::unexpected<error>(parsed.error());
  }
  json list = parsed->is_array() ? *parsed : json::array({ *parsed });
  if (list.empty() || list.size() > kMaxDocuments) {
    return Fail(error_kind::invalid_argument,
                "must have 1 to " + std::to_string(kMaxDocuments) +
                  " documents");
  }
  std::vector<config_document> documents;
  for (std::size_t i = 0; i < list.size(); ++i) {
    std::string place = "documents[" + std::to_string(i) + "]";
    result<config_document> document = ReadDeclaration(list[i], place);
    if (!document) {
      return tl::unexpected<error>(document.error());
    }
    for (const config_document& earlier : documents) {
      if (earlier.key == document->key) {
        return Fail(error_kind::invalid_argument,
                    place + ": '" + document->key + "' is declared twice");
      }
    }
    documents.push_back(std::move(*document));
  }
  return documents;
}

result<parsed_document>
ParseDocument(const config_document& aDocument)
{
  result<json> body = ParseJson(aDocument.text);
  if (!body) {
    return tl::unexpected<error>(body.error());
  }
  parsed_document parsed;
  std::string kind = aDocument.key.substr(0, aDocument.key.find('/'));
  if (kind == "service") {
    return ParseService(*body, aDocument.key).map([&](auto&& aService) {
      parsed.service = aService;
      return parsed;
    });
  }
  if (kind == "routes") {
    return ParseRoutes(*body, aDocument.key).map([&](auto&& aRoutes) {
      parsed.routes = aRoutes;
      return parsed;
    });
  }
  if (kind == "rollout") {
    return ParseRollout(*body, aDocument.key).map([&](auto&& aRollout) {
      parsed.rollout = aRollout;
      return parsed;
    });
  }
  return Fail(error_kind::invalid_argument,
              "'" + aDocument.key + "': unknown kind of document");
}

config_document
DocumentOf(const rollout_declaration& aRollout)
{
  json body = { { "kind", "rollout" },
                { "id", aRollout.id },
                { "service", aRollout.service },
                { "from", aRollout.from_version },
                { "to", aRollout.to_version },
                { "routes", aRollout.routes },
                { "start_ms", aRollout.start_unix_ms },
                { "by_ms", aRollout.deadline_unix_ms },
                { "phase", NameOf(aRollout.phase) },
                { "ended_ms", aRollout.ended_unix_ms },
                { "callers_exposed", aRollout.callers_exposed },
                { "callers_hurt", aRollout.callers_hurt } };
  if (!aRollout.reason.empty()) {
    body["reason"] = aRollout.reason;
  }
  return { "rollout/" + aRollout.id, body.dump() };
}

config_document
DocumentOf(const service_declaration& aService)
{
  json body = { { "kind", "service" },
                { "name", aService.name },
                { "version", aService.version },
                { "slots", aService.slots },
                { "connections", aService.connections },
                { "queue", aService.queue },
                { "warm_up_ms", aService.warm_up_ms } };
  return { "service/" + aService.name, body.dump() };
}

} // namespace eelgrasstrack
