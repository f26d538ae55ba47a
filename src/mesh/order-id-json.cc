#include "mesh/order-id-json.h"

#include "base/json-decode.h"

namespace eelgrasstrack {

namespace {

constexpr const char* kNumberField = "order";
constexpr const char* kEraField = "era";

std::uint64_t
NumberIn(const nlohmann::json& aValue)
{
  return static_cast<std::uint64_t>(IntegerIn(aValue, 0, kMaxJsonInteger));
}

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
  const nlohmann::json era = aJson.value(kEraField, nlohmann::json(0));
  return { NumberIn(era), NumberIn(aJson.at(kNumberField)) };
}

} // namespace eelgrasstrack
