#include "mesh/gossip-codec.h"

#include <limits>

#include "base/json-decode.h"
#include "mesh/order-id-json.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

/// An age is negative if the sender has learned of an event with a clock that
/// is behind the one that dated it.
duration
DecodeAge(const json& aValue)
{
  return std::chrono::milliseconds(IntegerIn(aValue, -kMaxTimeMs, kMaxTimeMs));
}

} // namespace

json
EncodeCanary(const canary_rollout& aCanary, time_point aNow)
{
  json encoded = { { "service", aCanary.service },
                   { "to", aCanary.target_version },
                   { "phase", NameOf(aCanary.phase) },
                   { "share", aCanary.share },
                   { "over_ms", Milliseconds(aCanary.time_limit) },
                   { "age_ms", Milliseconds(aNow - aCanary.started_at) } };
  AddOrderId(encoded, aCanary.order_id);
  return encoded;
}

result<canary_rollout>
DecodeCanary(const json& aJson, time_point aNow)
{
  return DecodeJson<canary_rollout>(
    "canary rollout", [&]() -> result<canary_rollout> {
      std::optional<canary_phase> phase =
        CanaryPhaseFromName(aJson.at("phase").get<std::string>());
      if (!phase) {
        return Fail(error_kind::invalid_argument,
                    "canary rollout: unknown phase");
      }
      canary_rollout canary;
      canary.service = aJson.at("service").get<std::string>();
      canary.target_version = aJson.at("to").get<std::string>();
      canary.order_id = OrderIdOf(aJson);
      canary.phase = *phase;
      canary.share = aJson.at("share").get<double>();
      canary.time_limit =
        std::chrono::milliseconds(TimeIn(aJson.at("over_ms")));
      canary.started_at = aNow - DecodeAge(aJson.at("age_ms"));
      return canary;
    });
}

json
EncodeCrash(const crash_record& aRecord, time_point aNow)
{
  return { aRecord.fingerprint,
           aRecord.count.epoch,
           aRecord.count.crashes,
           Milliseconds(aNow - aRecord.changed) };
}

result<crash_record>
DecodeCrash(const json& aJson, time_point aNow)
{
  return DecodeJson<crash_record>("crash record", [&] {
    crash_record record;
    record.fingerprint = aJson.at(0).get<request_fingerprint>();
    record.count = DecodeCrashCount(aJson.at(1), aJson.at(2));
    record.changed = aNow - DecodeAge(aJson.at(3));
    return record;
  });
}

json
EncodeDeparture(const host_departure& aDeparture)
{
  return { { "host", aDeparture.host },
           { "id", aDeparture.instance.id },
           { "born", aDeparture.instance.started_unix_ms } };
}

result<host_departure>
DecodeDeparture(const json& aJson)
{
  return DecodeJson<host_departure>("departure", [&] {
    host_departure departure;
    departure.host = aJson.at("host").get<std::string>();
    departure.instance.id = aJson.at("id").get<std::string>();
    departure.instance.started_unix_ms = TimeIn(aJson.at("born"));
    return departure;
  });
}

} // namespace eelgrasstrack
