#include "mesh/order-id-json.h"

namespace eelgrasstrack {

namespace {

constexpr const char* kNumberField = "order";
constexpr const char* kEraField = "era";

} // namespace

void
AddOrderId(nlohmann::json& aJson, const store_revision& aId)
{
  aJson[kNumberField] = aId.number;
  aJson[kEraField] = aId.era;
}

store_revision
OrderIdOf(const nlohmann::json& aJson)
{
  return { aJson.value(kEraField, std::uint64_t{ 0 }),
           aJson.at(kNumberField).get<std::uint64_t>() };
}

} // namespace eelgrasstrack
