#ifndef EELGRASSTRACK_RPC_SCHEMA_VALIDATOR_H_
#define EELGRASSTRACK_RPC_SCHEMA_VALIDATOR_H_

#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"

namespace eelgrasstrack {

/// The committed description of the operators' RPC (OpenAPI 3.1).
std::string_view
OperatorSchemaText();

/// Checks request bodies against the schemas of that description.
class schema_validator
{
public:
  schema_validator();
  ~schema_validator();
  schema_validator(const schema_validator&) = delete;
  schema_validator& operator=(const schema_validator&) = delete;

  /// `aSchema` is a name under `components/schemas`. Fails with
  /// `invalid_argument`, naming the place and what is wrong there.
  result<void> Check(const std::string& aSchema, std::string_view aBody) const;

private:
  struct parsed_schemas;
  std::unique_ptr<parsed_schemas> mParsed;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_RPC_SCHEMA_VALIDATOR_H_
