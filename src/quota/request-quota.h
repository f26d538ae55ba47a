#ifndef EELGRASSTRACK_QUOTA_REQUEST_QUOTA_H_
#define EELGRASSTRACK_QUOTA_REQUEST_QUOTA_H_

#include <memory>
#include <optional>

#include "base/clock.h"
#include "traffic/organisation-table.h"

namespace eelgrasstrack {

/// The right to run one request.
struct quota_permit
{
  /// When the permit becomes invalid; unset if it can't be returned.
  time_point expires{};
};

enum class quota_outcome
{
  admitted,
  refused,
  /// The waiter is called once the quota owner has answered.
  waiting,
};

struct quota_decision
{
  quota_outcome outcome = quota_outcome::refused;
  /// Set if admitted.
  quota_permit permit;
  /// If refused, the time after which a request is likely to be admitted.
  duration retry_after{ 0 };
};

/// A request that waits for a permit.
class quota_waiter
{
public:
  virtual ~quota_waiter() = default;
  virtual void OnPermit(const quota_permit& aPermit) = 0;
  virtual void OnQuotaRefused(duration aRetryAfter) = 0;
};

/// Admits the requests of organisations with a limit.
class request_quota
{
public:
  virtual ~request_quota() = default;

  /// Decides on a request. `aWaiter` is called only if the outcome is
  /// `waiting`, and never inside this call.
  virtual quota_decision Admit(const organisation& aOrganisation,
                               std::shared_ptr<quota_waiter> aWaiter) = 0;

  /// Gives up waiting. The permit, if one is granted, serves another request.
  virtual void Cancel(const organisation& aOrganisation,
                      const quota_waiter& aWaiter) = 0;

  /// Takes back the permit of a request that has not run.
  virtual void Return(const organisation& aOrganisation,
                      const quota_permit& aPermit) = 0;

  /// Counts a refusal for the log. Returns the refusals since the last line if
  /// another line may be written, so that an organisation far above its limit
  /// does not flood the log.
  virtual std::optional<unsigned> RecordRefusal(
    const organisation& aOrganisation) = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_QUOTA_REQUEST_QUOTA_H_
