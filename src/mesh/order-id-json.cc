#include "mesh/order-id-json.h"

#include "base/json-decode.h"

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
  const nlohmann::json era = aJson.value(kEraField, nlohmann::json(0));
  return { UnsignedIn<std::uint64_t>(era, kMaxJsonInteger),
           UnsignedIn<std::uint64_t>(aJson.at(kNumberField), kMaxJsonInteger) };
}

} // namespace eelgrasstrack
