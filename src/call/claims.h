#ifndef EELGRASSTRACK_CALL_CLAIMS_H_
#define EELGRASSTRACK_CALL_CLAIMS_H_

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace eelgrasstrack {

enum class claim_verdict
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
                     std::function<void(claim_verdict)> aDone) = 0;

  /// The call was proven not to have run, so its key may be used again.
  virtual void Release(const std::string& aKey, std::uint64_t aSession) = 0;
};

/// What one witness remembers: which session claimed a key, for a window.
class claim_memory
{
public:
  explicit claim_memory(duration aWindow, std::size_t aMaxKeys);

  /// Whether the session may use the key; a full memory grants nothing.
  bool Claim(const std::string& aKey, std::uint64_t aSession, time_point aNow);
  void Release(const std::string& aKey, std::uint64_t aSession);

  std::size_t Size() const { return mKeys.size(); }

private:
  struct claimed
  {
    std::uint64_t session;
    time_point until;
  };

  struct expiry
  {
    time_point until;
    std::string key;
  };

  void Expire(time_point aNow);

  duration mWindow;
  std::size_t mMaxKeys;
  std::unordered_map<std::string, claimed> mKeys;
  std::deque<expiry> mOrder;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CALL_CLAIMS_H_
