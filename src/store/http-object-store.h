#ifndef EELGRASSTRACK_STORE_HTTP_OBJECT_STORE_H_
#define EELGRASSTRACK_STORE_HTTP_OBJECT_STORE_H_

#include "http/client.h"
#include "store/call-budget.h"
#include "store/object-store.h"

namespace eelgrasstrack {

/// Counts of calls to the store by outcome.
struct store_counters
{
  /// Calls sent, without those that the budget refused.
  std::uint64_t calls = 0;
  /// Calls that ended with `store_unavailable`.
  std::uint64_t failures = 0;
  std::uint64_t refused_by_budget = 0;
};

/// Address of the store, call timeout, and budget of calls.
struct http_object_store_options
{
  endpoint target;
  duration timeout = std::chrono::seconds(3);
  double calls_per_second = 4;
  /// Calls that may be made at once after a pause.
  double burst = 20;
};

/// The object store over HTTP: `GET`, `PUT` with `If-Match` or
/// `If-None-Match` (RFC 9110, section 13), and `GET` with `watch` and `wait_ms`
/// in the query as a long poll. The version of an object is its `ETag`.
class http_object_store final : public object_store
{
public:
  http_object_store(tcp_transport& aTransport,
                    http_object_store_options aOptions);

  void Get(const std::string& aKey, get_callback aDone) override;
  void Put(const std::string& aKey,
           std::string aValue,
           std::uint64_t aExpectedVersion,
           put_callback aDone) override;
  void Watch(const std::string& aKey,
             std::uint64_t aKnownVersion,
             duration aWait,
             get_callback aDone) override;

  const store_counters& Counters() const { return mCounters; }

private:
  void Call(http_request aRequest, duration aTimeout, get_callback aDone);

  loop& mLoop;
  http_object_store_options mOptions;
  http_client mClient;
  call_budget mBudget;
  store_counters mCounters;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_STORE_HTTP_OBJECT_STORE_H_
