#include "distribution/config-state.h"

#include <nlohmann/json.hpp>

namespace eelgrasstrack {

namespace {

using nlohmann::json;

config_state
StateFromJson(const json& aBody)
{
  config_state state;
  state.version = aBody.at("version").get<std::uint64_t>();
  for (const auto& [key, document] : aBody.at("documents").items()) {
    state.documents[key] = document.dump();
  }
  for (const json& operation : aBody.at("operations")) {
    state.operations.push_back(
      { operation.at("id").get<std::string>(),
        operation.at("version").get<std::uint64_t>() });
  }
  return state;
}

} // namespace

const accepted_operation*
config_state::FindOperation(const std::string& aId) const
{
  for (const accepted_operation& operation : operations) {
    if (operation.id == aId) {
      return &operation;
    }
  }
  return nullptr;
}

std::string
EncodeConfigState(const config_state& aState)
{
  json documents = json::object();
  for (const auto& [key, text] : aState.documents) {
    documents[key] = json::parse(text);
  }
  json operations = json::array();
  for (const accepted_operation& operation : aState.operations) {
    operations.push_back(
      { { "id", operation.id }, { "version", operation.version } });
  }
  json body = { { "version", aState.version },
                { "documents", std::move(documents) },
                { "operations", std::move(operations) } };
  return body.dump();
}

result<config_state>
DecodeConfigState(const std::string& aText)
{
  try {
    return StateFromJson(json::parse(aText));
  } catch (const json::exception& problem) {
    return Fail(error_kind::internal,
                "stored configuration: cannot decode JSON: " +
                  std::string(problem.what()));
  }
}

} // namespace eelgrasstrack
