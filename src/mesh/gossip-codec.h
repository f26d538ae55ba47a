#ifndef EELGRASSTRACK_MESH_GOSSIP_CODEC_H_
#define EELGRASSTRACK_MESH_GOSSIP_CODEC_H_

#include <nlohmann/json.hpp>

#include "mesh/host-record.h"
#include "proxy/crash-table.h"
#include "proxy/version-selector.h"

namespace eelgrasstrack {

/// Entries of the messages between nodes. Times are sent as ages, since clocks
/// differ between hosts. The decoders fail with `invalid_argument`.

nlohmann::json
EncodeCanary(const canary_rollout& aCanary, time_point aNow);

result<canary_rollout>
DecodeCanary(const nlohmann::json& aJson, time_point aNow);

nlohmann::json
EncodeCrash(const crash_record& aRecord, time_point aNow);

result<crash_record>
DecodeCrash(const nlohmann::json& aJson, time_point aNow);

nlohmann::json
EncodeDeparture(const host_departure& aDeparture);

result<host_departure>
DecodeDeparture(const nlohmann::json& aJson);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_GOSSIP_CODEC_H_
