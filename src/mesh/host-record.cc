#include "mesh/host-record.h"

#include <nlohmann/json.hpp>
#include <tuple>

#include "base/name-table.h"

namespace eelgrasstrack {

namespace {

constexpr name_table<instance_state, 4> kStateNames{ {
  { instance_state::absent, "absent" },
  { instance_state::ready, "ready" },
  { instance_state::draining, "draining" },
  { instance_state::gone, "gone" },
} };

nlohmann::json
EncodeInstance(const instance_record& aInstance)
{
  return { { "id", aInstance.id },
           { "service", aInstance.service },
           { "version", aInstance.version },
           { "address", ToString(aInstance.address) },
           { "slots", aInstance.slots },
           { "state", NameOf(aInstance.state) },
           { "born", aInstance.started_unix_ms },
           { "cold_ms", Milliseconds(aInstance.warmup_left) } };
}

result<instance_record>
DecodeInstance(const nlohmann::json& aJson)
{
  instance_record instance;
  instance.id = aJson.at("id").get<std::string>();
  instance.service = aJson.at("service").get<std::string>();
  instance.version = aJson.at("version").get<std::string>();
  instance.address = ParseEndpoint(aJson.at("address").get<std::string>());
  instance.slots = aJson.at("slots").get<unsigned>();
  instance.started_unix_ms = aJson.at("born").get<std::int64_t>();
  instance.warmup_left =
    std::chrono::milliseconds(aJson.at("cold_ms").get<std::int64_t>());
  std::optional<instance_state> state =
    ValueIn(kStateNames, aJson.at("state").get<std::string>());
  if (!state) {
    return Fail(error_kind::invalid_argument, "instance record: unknown state");
  }
  instance.state = *state;
  return instance;
}

} // namespace

std::string_view
NameOf(instance_state aState)
{
  return NameIn(kStateNames, aState);
}

bool
IsLeaving(instance_state aState)
{
  return aState == instance_state::draining || aState == instance_state::gone;
}

instance_incarnation
IncarnationOf(const instance_record& aInstance)
{
  return { aInstance.id, aInstance.started_unix_ms };
}

bool
HasLeft(const instance_incarnation& aLeft, const instance_record& aInstance)
{
  return aInstance.id == aLeft.id &&
         aInstance.started_unix_ms <= aLeft.started_unix_ms;
}

bool
IsNewer(const host_record& aLeft, const host_record& aRight)
{
  return std::tie(aLeft.incarnation, aLeft.sequence) >
         std::tie(aRight.incarnation, aRight.sequence);
}

nlohmann::json
EncodeHostRecord(const host_record& aRecord)
{
  nlohmann::json json = { { "name", aRecord.name },
                          { "domain", aRecord.domain },
                          { "hop", ToString(aRecord.hop) },
                          { "control", ToString(aRecord.control) },
                          { "incarnation", aRecord.incarnation },
                          { "sequence", aRecord.sequence },
                          { "leaving", aRecord.leaving } };
  if (aRecord.instance.state != instance_state::absent) {
    json["instance"] = EncodeInstance(aRecord.instance);
  }
  for (const quarantined_request& request : aRecord.quarantined) {
    json["quarantined"].push_back({ request.fingerprint,
                                    request.count.epoch,
                                    request.count.crashes,
                                    request.changed_unix_ms });
  }
  return json;
}

result<host_record>
DecodeHostRecord(const nlohmann::json& aJson)
{
  try {
    host_record record;
    record.name = aJson.at("name").get<std::string>();
    record.domain = aJson.at("domain").get<std::string>();
    record.hop = ParseEndpoint(aJson.at("hop").get<std::string>());
    record.control = ParseEndpoint(aJson.at("control").get<std::string>());
    record.incarnation = aJson.at("incarnation").get<std::int64_t>();
    record.sequence = aJson.at("sequence").get<std::uint64_t>();
    record.leaving = aJson.at("leaving").get<bool>();
    if (record.hop.port == 0 || record.control.port == 0) {
      return Fail(error_kind::invalid_argument,
                  "host record: hop or control address has no port");
    }
    if (aJson.contains("instance")) {
      result<instance_record> instance = DecodeInstance(aJson.at("instance"));
      if (!instance) {
        return tl::unexpected<error>(instance.error());
      }
      record.instance = std::move(*instance);
    }
    for (const nlohmann::json& entry :
         aJson.value("quarantined", nlohmann::json::array())) {
      record.quarantined.push_back({ entry.at(0).get<std::uint64_t>(),
                                     { entry.at(1).get<std::uint32_t>(),
                                       entry.at(2).get<std::uint32_t>() },
                                     entry.at(3).get<std::int64_t>() });
    }
    return record;
  } catch (const nlohmann::json::exception& problem) {
    return Fail(error_kind::invalid_argument,
                std::string("host record: ") + problem.what());
  }
}

} // namespace eelgrasstrack
