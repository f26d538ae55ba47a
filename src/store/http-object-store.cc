#include "store/http-object-store.h"

#include <charconv>

namespace eelgrasstrack {

namespace {

constexpr std::string_view kPathPrefix = "/v1/objects/";
constexpr int kStatusPreconditionFailed = 412;
constexpr int kStatusTooManyRequests = 429;

/// Parses an entity tag such as `"7"`. Returns 0 if it does not start with a
/// quote and a number.
std::uint64_t
VersionFromEtag(std::string_view aEtag)
{
  if (aEtag.size() < 2 || aEtag.front() != '"') {
    return 0;
  }
  std::uint64_t version = 0;
  std::from_chars(aEtag.data() + 1, aEtag.data() + aEtag.size() - 1, version);
  return version;
}

result<stored_object>
ObjectFromResponse(http_result aResponse)
{
  if (!aResponse) {
    execution execution_status = aResponse.error().execution_status;
    return tl::unexpected<error>(error{ error_kind::store_unavailable,
                                        "store: " + aResponse.error().message,
                                        execution_status });
  }
  switch (aResponse->status) {
    case 200:
    case 201:
    case 204:
      return stored_object{ VersionFromEtag(
                              HeaderValue(aResponse->headers, "etag")),
                            std::move(aResponse->body) };
    case 404:
      return stored_object{};
    case kStatusPreconditionFailed:
      return Fail(error_kind::conflict,
                  "object version differs from the expected version");
    case kStatusTooManyRequests:
      return Fail(error_kind::overloaded,
                  "store refused the call: call rate too high");
    default:
      return Fail(error_kind::store_unavailable,
                  "store returned status " + std::to_string(aResponse->status));
  }
}

http_request
MakeRequest(std::string aMethod, const std::string& aKey)
{
  http_request request;
  request.method = std::move(aMethod);
  request.path = std::string(kPathPrefix) + aKey;
  return request;
}

} // namespace

http_object_store::http_object_store(tcp_transport& aTransport,
                                     http_object_store_options aOptions)
  : mLoop(aTransport.Loop())
  , mOptions(std::move(aOptions))
  , mClient(aTransport, mOptions.target, http_client_options{})
  , mBudget(mOptions.calls_per_second, mOptions.burst)
{
}

void
http_object_store::Call(http_request aRequest,
                        duration aTimeout,
                        get_callback aDone)
{
  if (!mBudget.TryAcquire(mLoop.Now())) {
    ++mCounters.refused_by_budget;
    mLoop.RunAfter(duration(0), [aDone] {
      aDone(Fail(error_kind::overloaded,
                 "store call refused: the node's call budget is used up"));
    });
    return;
  }
  ++mCounters.calls;
  mClient.Start(
    std::move(aRequest), aTimeout, [this, aDone](http_result aResponse) {
      result<stored_object> object = ObjectFromResponse(std::move(aResponse));
      if (!object && object.error().kind == error_kind::store_unavailable) {
        ++mCounters.failures;
      }
      aDone(std::move(object));
    });
}

void
http_object_store::Get(const std::string& aKey, get_callback aDone)
{
  Call(MakeRequest("GET", aKey), mOptions.timeout, std::move(aDone));
}

void
http_object_store::Put(const std::string& aKey,
                       std::string aValue,
                       std::uint64_t aExpectedVersion,
                       put_callback aDone)
{
  http_request request = MakeRequest("PUT", aKey);
  request.body = std::move(aValue);
  if (aExpectedVersion == 0) {
    request.headers.push_back({ "if-none-match", "*" });
  } else {
    request.headers.push_back(
      { "if-match", "\"" + std::to_string(aExpectedVersion) + "\"" });
  }
  Call(std::move(request),
       mOptions.timeout,
       [aDone = std::move(aDone)](result<stored_object> aObject) {
         if (!aObject) {
           aDone(tl::unexpected<error>(aObject.error()));
           return;
         }
         aDone(aObject->version);
       });
}

void
http_object_store::Watch(const std::string& aKey,
                         std::uint64_t aKnownVersion,
                         duration aWait,
                         get_callback aDone)
{
  http_request request = MakeRequest("GET", aKey);
  request.query = "watch=" + std::to_string(aKnownVersion) +
                  "&wait_ms=" + std::to_string(Milliseconds(aWait));
  Call(std::move(request), aWait + mOptions.timeout, std::move(aDone));
}

} // namespace eelgrasstrack
