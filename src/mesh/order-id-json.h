#ifndef EELGRASSTRACK_MESH_ORDER_ID_JSON_H_
#define EELGRASSTRACK_MESH_ORDER_ID_JSON_H_

#include <nlohmann/json.hpp>

#include "base/store-revision.h"

namespace eelgrasstrack {

/// Adds the id of an order to a message between nodes or to the state dump.
void
AddOrderId(nlohmann::json& aJson, const store_revision& aId);

/// Reads the id of an order from a message between nodes. Nodes of earlier
/// versions send no era; it is 0 then. Throws `nlohmann::json::exception`.
store_revision
OrderIdOf(const nlohmann::json& aJson);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_ORDER_ID_JSON_H_
