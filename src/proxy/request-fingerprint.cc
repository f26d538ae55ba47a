#include "proxy/request-fingerprint.h"

#include <algorithm>
#include <cctype>

#include "base/hash.h"

namespace eelgrasstrack {

namespace {

/// Every node that handles a request holds at least this much of its body.
constexpr std::size_t kMaxHashedBodyBytes = 256U << 10U;

/// The name in a Host field, in lower case and without the port.
std::string
HostName(const header_fields& aFields)
{
  const std::string* field = FindField(aFields, "Host");
  std::string name = field != nullptr ? *field : "";
  name = name.substr(0, name.find(':'));
  std::transform(
    name.begin(), name.end(), name.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return name;
}

} // namespace

request_fingerprint
FingerprintOf(const message_head& aHead,
              std::string_view aCallerService,
              std::string_view aBody)
{
  // Each part seeds the hash of the next one, so that bytes can't move between
  // parts.
  std::uint64_t hash = HashOf(aHead.method);
  hash = HashOf(HostName(aHead.fields), hash);
  hash = HashOf(aHead.target, hash);
  hash = HashOf(aCallerService, hash);
  return HashOf(aBody.substr(0, kMaxHashedBodyBytes), hash);
}

request_fingerprint
FingerprintOf(const forwarded_request& aRequest)
{
  return FingerprintOf(aRequest.head, aRequest.caller_service, aRequest.body);
}

} // namespace eelgrasstrack
