#ifndef EELGRASSTRACK_WIRE_BUFFERED_MESSAGE_H_
#define EELGRASSTRACK_WIRE_BUFFERED_MESSAGE_H_

#include <functional>
#include <string>

#include "base/error.h"
#include "wire/message.h"

namespace eelgrasstrack {

/// A complete HTTP request in memory.
struct buffered_request
{
  std::string method = "GET";
  std::string target;
  header_fields fields;
  std::string body;
};

/// A complete HTTP response in memory.
struct buffered_response
{
  int status = 0;
  header_fields fields;
  std::string body;
};

using response_callback = std::function<void(result<buffered_response>)>;

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_BUFFERED_MESSAGE_H_
