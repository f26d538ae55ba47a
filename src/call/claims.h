#ifndef EELGRASSTRACK_CALL_CLAIMS_H_
#define EELGRASSTRACK_CALL_CLAIMS_H_

#include <functional>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

enum class claim_result
{
  /// No other call used the key within the window.
  granted,
  duplicate,
  /// No witness answered.
  unanswered,
};

/// Asks the witnesses of a request key, before a call that must not be repeated
/// is sent, whether another call used the key.
class claim_service
{
public:
  virtual ~claim_service() = default;

  /// `aDone` is called once, never before this returns.
  virtual void Claim(const std::string& aKey,
                     std::uint64_t aSession,
                     std::function<void(claim_result)> aDone) = 0;

  /// The call was proven not to have run, so its key may be used again.
  virtual void Release(const std::string& aKey, std::uint64_t aSession) = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CALL_CLAIMS_H_
