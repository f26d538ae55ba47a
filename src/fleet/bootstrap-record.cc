#include "fleet/bootstrap-record.h"

#include <nlohmann/json.hpp>

namespace eelgrasstrack {

std::string
EncodeBootstrap(const bootstrap_record& aRecord)
{
  nlohmann::json body = { { "fleet_size", aRecord.fleet_size },
                          { "domains", aRecord.domains } };
  return body.dump();
}

result<bootstrap_record>
DecodeBootstrap(const std::string& aText)
{
  try {
    nlohmann::json body = nlohmann::json::parse(aText);
    bootstrap_record record;
    record.fleet_size = body.at("fleet_size").get<std::size_t>();
    body.at("domains").get_to(record.domains);
    return record;
  } catch (const nlohmann::json::exception& problem) {
    return Fail(error_kind::internal,
                "bootstrap record: cannot decode JSON: " +
                  std::string(problem.what()));
  }
}

} // namespace eelgrasstrack
