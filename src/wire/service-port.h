#ifndef EELGRASSTRACK_WIRE_SERVICE_PORT_H_
#define EELGRASSTRACK_WIRE_SERVICE_PORT_H_

#include <functional>

#include "base/error.h"
#include "net/socket.h"
#include "wire/control-client.h"

namespace eelgrasstrack {

/// Sends the response to one request; to be called once.
using respond_callback = std::function<void(buffered_response)>;
using service_handler = std::function<void(buffered_request, respond_callback)>;

/// Serves small requests (body up to 8 MiB) that are read completely before
/// they are handled: readiness, heartbeats, metrics, and calls of other nodes.
/// The handler may respond asynchronously.
result<void>
ServeAt(tcp_transport& aTransport,
        const endpoint& aEndpoint,
        service_handler aHandler);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_SERVICE_PORT_H_
