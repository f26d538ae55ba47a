#ifndef EELGRASSTRACK_RPC_SCHEMA_VALIDATOR_H_
#define EELGRASSTRACK_RPC_SCHEMA_VALIDATOR_H_

#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"

namespace eelgrasstrack {

/// Returns the OpenAPI 3.1 description of the operator API.
std::string_view
OperatorSchemaText();

/// Validates request bodies against the schemas of the OpenAPI description.
class schema_validator
{
public:
  schema_validator();
  ~schema_validator();
  schema_validator(const schema_validator&) = delete;
  schema_validator& operator=(const schema_validator&) = delete;

  /// Validates a body against the schema named `aSchema` under
  /// `components/schemas`. Fails with `invalid_argument` and a message that
  /// names each invalid location and the reason.
  result<void> Check(const std::string& aSchema, std::string_view aBody) const;

private:
  struct parsed_schemas;
  std::unique_ptr<parsed_schemas> mParsed;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_RPC_SCHEMA_VALIDATOR_H_
