#include "http/error-response.h"

#include <nlohmann/json.hpp>

namespace eelgrasstrack {

http_response
ErrorResponse(const error& aFailure)
{
  nlohmann::json body = { { "error", NameOf(aFailure.kind) },
                          { "message", aFailure.message },
                          { "execution", NameOf(aFailure.execution_status) } };
  http_response response;
  response.status = MappingOf(aFailure.kind).http_status;
  response.headers = { { "content-type", "application/json" },
                       { "x-execution",
                         std::string(NameOf(aFailure.execution_status)) } };
  if (aFailure.execution_status == execution::not_run) {
    response.headers.push_back({ "x-not-run", "true" });
  }
  response.body =
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

} // namespace eelgrasstrack
