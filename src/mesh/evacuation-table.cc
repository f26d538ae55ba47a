#include "mesh/evacuation-table.h"

#include <nlohmann/json.hpp>

#include "base/json-decode.h"
#include "base/log.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr const char* kEraField = "era";
constexpr const char* kRevisionField = "rev";
constexpr const char* kDomainsField = "domains";

std::string
JoinNames(const std::set<std::string>& aNames)
{
  std::string joined;
  for (const std::string& name : aNames) {
    joined += joined.empty() ? "" : " ";
    joined += name;
  }
  return joined;
}

} // namespace

void
evacuation_table::SetEnabled(bool aEnabled)
{
  mEnabled = aEnabled;
  if (!mEnabled) {
    mSnapshot = {};
  }
}

bool
evacuation_table::Merge(const evacuation_snapshot& aSnapshot)
{
  if (!mEnabled || !(aSnapshot.revision > mSnapshot.revision)) {
    return false;
  }
  bool changed = aSnapshot.domains != mSnapshot.domains;
  if (changed) {
    LogEvent(log_level::info,
             "evacuations_changed",
             { { "domains", JoinNames(aSnapshot.domains) },
               { "before", JoinNames(mSnapshot.domains) },
               { "revision", std::to_string(aSnapshot.revision.number) } });
  }
  mSnapshot = aSnapshot;
  return changed;
}

json
EncodeEvacuations(const evacuation_snapshot& aSnapshot)
{
  return { { kEraField, aSnapshot.revision.era },
           { kRevisionField, aSnapshot.revision.number },
           { kDomainsField, aSnapshot.domains } };
}

result<evacuation_snapshot>
DecodeEvacuations(const json& aJson)
{
  return DecodeJson<evacuation_snapshot>("evacuations", [&aJson] {
    evacuation_snapshot snapshot;
    snapshot.revision = {
      UnsignedIn<std::uint64_t>(aJson.at(kEraField), kMaxJsonInteger),
      UnsignedIn<std::uint64_t>(aJson.at(kRevisionField), kMaxJsonInteger)
    };
    snapshot.domains = aJson.at(kDomainsField).get<std::set<std::string>>();
    return snapshot;
  });
}

} // namespace eelgrasstrack
