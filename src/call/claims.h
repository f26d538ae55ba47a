#ifndef EELGRASSTRACK_CALL_CLAIMS_H_
#define EELGRASSTRACK_CALL_CLAIMS_H_

#include <functional>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// Result of claiming a request key.
enum class claim_result
{
  /// No other call used the key within the window.
  granted,
  /// Another call used the key within the window.
  duplicate,
  /// No witness answered.
  unanswered,
};

/// Claims the request keys of calls that must not be repeated, before they are
/// sent. The witnesses of a key are the nodes that record who claimed it.
class claim_service
{
public:
  virtual ~claim_service() = default;

  /// Asks the witnesses whether another call used the key. `aDone` is called
  /// once, never before this returns.
  virtual void Claim(const std::string& aKey,
                     std::uint64_t aSession,
                     std::function<void(claim_result)> aDone) = 0;

  /// Gives up a claimed key so that it can be used again. Call this only if the
  /// call is known not to have run.
  virtual void Release(const std::string& aKey, std::uint64_t aSession) = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CALL_CLAIMS_H_
