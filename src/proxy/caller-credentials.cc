#include "proxy/caller-credentials.h"

namespace eelgrasstrack {

namespace {

constexpr std::string_view kAuthorizationField = "Authorization";
constexpr std::string_view kScheme = "Bearer";

/// The token of a field value `Bearer TOKEN`; empty if it has another form.
std::string_view
BearerToken(std::string_view aValue)
{
  std::size_t space = aValue.find(' ');
  if (space == std::string_view::npos ||
      !EqualsIgnoreCase(aValue.substr(0, space), kScheme)) {
    return {};
  }
  std::size_t token = aValue.find_first_not_of(' ', space);
  return token == std::string_view::npos ? std::string_view()
                                         : aValue.substr(token);
}

} // namespace

const organisation*
OrganisationOf(const header_fields& aFields,
               const organisation_table& aOrganisations)
{
  const std::string* value = FindField(aFields, kAuthorizationField);
  std::string_view key = value != nullptr ? BearerToken(*value) : "";
  return key.empty() ? nullptr : aOrganisations.FindByKey(key);
}

void
ReplaceCredentials(header_fields& aFields,
                   const header_names& aNames,
                   const organisation* aOrganisation)
{
  std::erase_if(aFields, [&aNames](const header_field& aField) {
    return EqualsIgnoreCase(aField.name, kAuthorizationField) ||
           EqualsIgnoreCase(aField.name, aNames.organisation);
  });
  if (aOrganisation != nullptr) {
    aFields.push_back({ aNames.organisation, aOrganisation->name });
  }
}

} // namespace eelgrasstrack
