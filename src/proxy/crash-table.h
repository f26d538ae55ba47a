#ifndef EELGRASSTRACK_PROXY_CRASH_TABLE_H_
#define EELGRASSTRACK_PROXY_CRASH_TABLE_H_

#include <functional>
#include <unordered_map>
#include <vector>

#include "proxy/request-fingerprint.h"

namespace eelgrasstrack {

/// What a node knows of a request that was running when an instance crashed.
struct crash_record
{
  request_fingerprint fingerprint = 0;
  crash_count count;
  /// When the count last changed on any node.
  time_point changed{};
};

/// Remembers which requests were running when instances crashed, so that one
/// that crashes every instance is not sent on.
///
/// A request that only runs beside such a one is sooner or later answered,
/// which proves that it is harmless. Records of nodes can be merged in any
/// order, any number of times.
class crash_table
{
public:
  /// Called with the records that this node has changed by its own evidence.
  using change_handler = std::function<void(const std::vector<crash_record>&)>;

  void OnChange(change_handler aHandler) { mOnChange = std::move(aHandler); }

  /// Whether nothing is known, so that no fingerprint has to be computed.
  bool Empty() const { return mRecords.empty(); }

  /// Returns zero counts for an unknown request.
  crash_count Find(request_fingerprint aRequest) const;
  /// Whether an instance has crashed beside the request, and none has answered
  /// it since.
  bool IsSuspect(request_fingerprint aRequest) const;
  /// Whether the request must not be sent to any instance.
  bool IsQuarantined(request_fingerprint aRequest) const;
  /// Time until the request may be tried again; 0 if it is not quarantined.
  duration QuarantineLeft(request_fingerprint aRequest, time_point aNow) const;

  /// A request that was running when an instance crashed.
  struct interrupted_run
  {
    request_fingerprint request = 0;
    /// What was known when the instance began to run it.
    crash_count known;
  };

  /// Records the crash of an instance.
  void RecordCrash(const std::vector<interrupted_run>& aRuns, time_point aNow);
  /// Records that an instance has answered a request.
  void RecordAnswer(request_fingerprint aRequest, time_point aNow);
  /// Takes over what another node knows. Returns whether that was news.
  bool Merge(const crash_record& aRecord, time_point aNow);

  /// Forgets what was last changed ten minutes ago.
  void RemoveExpired(time_point aNow);

  std::vector<crash_record> Records() const;
  std::size_t QuarantinedCount() const;
  /// Equal on nodes that know the same.
  std::uint64_t Digest() const;

private:
  struct known_request
  {
    crash_count count;
    time_point changed{};
  };

  /// Forgets the request with the least evidence, the oldest of several.
  void RemoveOne();

  std::unordered_map<request_fingerprint, known_request> mRecords;
  change_handler mOnChange;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_CRASH_TABLE_H_
