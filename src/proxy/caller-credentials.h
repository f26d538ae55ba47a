#ifndef EELGRASSTRACK_PROXY_CALLER_CREDENTIALS_H_
#define EELGRASSTRACK_PROXY_CALLER_CREDENTIALS_H_

#include "proxy/forwarded-request.h"
#include "traffic/organisation-table.h"

namespace eelgrasstrack {

/// Returns the organisation whose key the fields of a request carry as a bearer
/// token (RFC 6750), or null.
const organisation*
OrganisationOf(const header_fields& aFields,
               const organisation_table& aOrganisations);

/// Replaces the key of a request, which is not sent on, by the name of the
/// organisation that holds it. Without an organisation no name is sent on,
/// whatever the caller has sent.
void
ReplaceCredentials(header_fields& aFields,
                   const header_names& aNames,
                   const organisation* aOrganisation);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_CALLER_CREDENTIALS_H_
