#ifndef EELGRASSTRACK_MESH_VERSION_SAMPLE_JSON_H_
#define EELGRASSTRACK_MESH_VERSION_SAMPLE_JSON_H_

#include <nlohmann/json.hpp>

#include "rollout/version-sample.h"

namespace eelgrasstrack {

/// Encodes counts for a message between nodes.
nlohmann::json
EncodeSamples(const version_samples& aSamples);

/// Decodes counts from a message between nodes. Nodes of earlier versions send
/// no counts of unanswered requests. Throws `nlohmann::json::exception` and
/// `std::out_of_range`.
version_samples
DecodeSamples(const nlohmann::json& aJson);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_VERSION_SAMPLE_JSON_H_
