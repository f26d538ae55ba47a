#include "mesh/host-record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <tuple>

#include "base/json-decode.h"
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

/// Whether a name is printable ASCII that needs no escape in a URL's path.
bool
IsPathSegment(const std::string& aName)
{
  constexpr std::string_view kReserved = "/?#%\"\\<>^`{|}";
  return IsPrintable(aName) &&
         aName.find_first_of(kReserved) == std::string::npos;
}

instance_record
DecodeInstance(const nlohmann::json& aJson)
{
  instance_record instance;
  instance.id = aJson.at("id").get<std::string>();
  instance.service = aJson.at("service").get<std::string>();
  instance.version = aJson.at("version").get<std::string>();
  instance.address = ParseEndpoint(aJson.at("address").get<std::string>());
  instance.slots = DecodeSlots(aJson.at("slots"));
  instance.started_unix_ms = TimeIn(aJson.at("born"));
  instance.warmup_left = std::chrono::milliseconds(TimeIn(aJson.at("cold_ms")));
  std::optional<instance_state> state =
    ValueIn(kStateNames, aJson.at("state").get<std::string>());
  if (!state) {
    throw std::invalid_argument("unknown state of the instance");
  }
  if (instance.address.port == 0) {
    throw std::invalid_argument("address of the instance is not valid");
  }
  instance.state = *state;
  return instance;
}

nlohmann::json
EncodeIncarnation(const instance_incarnation& aInstance)
{
  return { { "id", aInstance.id }, { "born", aInstance.started_unix_ms } };
}

instance_incarnation
DecodeIncarnation(const nlohmann::json& aJson)
{
  return { aJson.at("id").get<std::string>(), TimeIn(aJson.at("born")) };
}

quarantined_request
DecodeQuarantined(const nlohmann::json& aJson)
{
  return { aJson.at(0).get<std::uint64_t>(),
           DecodeCrashCount(aJson.at(1), aJson.at(2)),
           TimeIn(aJson.at(3)) };
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
ShowsDeparture(const host_record& aRecord,
               const instance_incarnation& aDeparture)
{
  const std::optional<instance_incarnation>& last = aRecord.last_departure;
  bool named = last && last->id == aDeparture.id &&
               last->started_unix_ms >= aDeparture.started_unix_ms;
  return named || aRecord.instance.started_unix_ms > aDeparture.started_unix_ms;
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
  if (aRecord.last_departure) {
    json["departed"] = EncodeIncarnation(*aRecord.last_departure);
  }
  for (const quarantined_request& request : aRecord.quarantined) {
    json["quarantined"].push_back({ request.fingerprint,
                                    request.count.epoch,
                                    request.count.crashes,
                                    request.changed_unix_ms });
  }
  return json;
}

bool
IsPrintable(std::string_view aName)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter < 0x7F;
         });
}

unsigned
DecodeSlots(const nlohmann::json& aValue)
{
  constexpr std::int64_t kMaxSlots = 1'000'000;
  return static_cast<unsigned>(IntegerIn(aValue, 1, kMaxSlots));
}

crash_count
DecodeCrashCount(const nlohmann::json& aEpoch, const nlohmann::json& aCrashes)
{
  return { UnsignedIn<std::uint32_t>(aEpoch),
           UnsignedIn<std::uint32_t>(aCrashes) };
}

result<host_record>
DecodeHostRecord(const nlohmann::json& aJson)
{
  return DecodeJson<host_record>("host record", [&aJson] {
    host_record record;
    record.name = aJson.at("name").get<std::string>();
    if (!IsPathSegment(record.name)) {
      throw std::invalid_argument("name can't stand in a path");
    }
    record.domain = aJson.at("domain").get<std::string>();
    record.hop = ParseEndpoint(aJson.at("hop").get<std::string>());
    record.control = ParseEndpoint(aJson.at("control").get<std::string>());
    record.incarnation = TimeIn(aJson.at("incarnation"));
    record.sequence =
      UnsignedIn<std::uint64_t>(aJson.at("sequence"), kMaxJsonInteger);
    record.leaving = aJson.at("leaving").get<bool>();
    if (record.hop.port == 0 || record.control.port == 0) {
      throw std::invalid_argument("hop or control address is not valid");
    }
    if (aJson.contains("instance")) {
      record.instance = DecodeInstance(aJson.at("instance"));
    }
    if (aJson.contains("departed")) {
      record.last_departure = DecodeIncarnation(aJson.at("departed"));
    }
    for (const nlohmann::json& entry :
         aJson.value("quarantined", nlohmann::json::array())) {
      record.quarantined.push_back(DecodeQuarantined(entry));
    }
    return record;
  });
}

} // namespace eelgrasstrack
