#ifndef EELGRASSTRACK_WIRE_SERVICE_PORT_H_
#define EELGRASSTRACK_WIRE_SERVICE_PORT_H_

#include <functional>

#include "base/body-budget.h"
#include "base/error.h"
#include "net/socket.h"
#include "wire/control-client.h"

namespace eelgrasstrack {

/// Sends the response to one request; to be called once.
using respond_callback = std::function<void(buffered_response)>;
using service_handler = std::function<void(buffered_request, respond_callback)>;

/// Serves small requests (body up to 8 MiB) that are read completely before
/// they are handled: readiness, heartbeats, metrics, and calls of other nodes.
/// The handler may respond asynchronously. `aBudget` accounts for the bytes
/// that all connections keep and outlives the listener; a request that does not
/// fit gets 503. Without it nothing is limited.
result<void>
ServeAt(tcp_transport& aTransport,
        const endpoint& aEndpoint,
        service_handler aHandler,
        const body_budget* aBudget = nullptr);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_SERVICE_PORT_H_
