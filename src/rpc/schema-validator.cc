#include "rpc/schema-validator.h"

#include <map>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include "base/json-reader.h"

namespace eelgrasstrack {

namespace {

constexpr std::string_view kSchemaText =
#include "operator-api.inc"
  ;

} // namespace

struct schema_validator::parsed_schemas
{
  std::map<std::string, valijson::Schema> schemas;
};

std::string_view
OperatorSchemaText()
{
  return kSchemaText;
}

schema_validator::schema_validator()
  : mParsed(std::make_unique<parsed_schemas>())
{
  nlohmann::json document = nlohmann::json::parse(kSchemaText);
  for (const auto& [name, body] : document["components"]["schemas"].items()) {
    valijson::SchemaParser parser;
    valijson::adapters::NlohmannJsonAdapter adapter(body);
    parser.populateSchema(adapter, mParsed->schemas[name]);
  }
}

schema_validator::~schema_validator() = default;

result<void>
schema_validator::Check(const std::string& aSchema,
                        std::string_view aBody) const
{
  result<nlohmann::json> body = ParseJson(aBody);
  if (!body) {
    return tl::unexpected<error>(body.error());
  }
  valijson::Validator validator;
  valijson::ValidationResults results;
  valijson::adapters::NlohmannJsonAdapter adapter(*body);
  if (validator.validate(mParsed->schemas.at(aSchema), adapter, &results)) {
    return {};
  }
  std::string message;
  valijson::ValidationResults::Error failure;
  while (results.popError(failure)) {
    message += message.empty() ? "" : "; ";
    for (const std::string& place : failure.context) {
      message += place;
    }
    message += ": " + failure.description;
  }
  return Fail(error_kind::invalid_argument, message);
}

} // namespace eelgrasstrack
