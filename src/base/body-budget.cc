#include "base/body-budget.h"

#include <utility>

namespace eelgrasstrack {

bool
body_budget::account::Admits(std::size_t aFrom, std::size_t aTo) const
{
  std::size_t allowed = aTo > kSmallBytes ? limit - limit / kSmallPart : limit;
  std::size_t others = held - aFrom;
  return others <= allowed && aTo <= allowed - others;
}

body_reservation::body_reservation(body_reservation&& aOther) noexcept
  : mAccount(std::move(aOther.mAccount))
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

body_reservation&
body_reservation::operator=(body_reservation&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mAccount = std::move(aOther.mAccount);
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

bool
body_reservation::Resize(std::size_t aBytes)
{
  if (!mAccount || aBytes == mBytes) {
    return true;
  }
  if (aBytes > mBytes && !mAccount->Admits(mBytes, aBytes)) {
    return false;
  }
  Force(aBytes);
  return true;
}

void
body_reservation::Force(std::size_t aBytes)
{
  if (mAccount) {
    mAccount->held = mAccount->held - mBytes + aBytes;
    mBytes = aBytes;
  }
}

body_reservation
body_reservation::Take()
{
  body_reservation taken;
  taken.mAccount = mAccount;
  taken.mBytes = std::exchange(mBytes, 0);
  return taken;
}

void
body_reservation::Release()
{
  if (mAccount) {
    mAccount->held -= mBytes;
  }
  mBytes = 0;
}

bool
AppendReserved(std::string& aText,
               std::string_view aBytes,
               body_reservation& aHeld)
{
  std::size_t needed = aText.size() + aBytes.size();
  if (needed > aText.capacity()) {
    std::size_t capacity = needed + needed / 2;
    if (!aHeld.Resize(capacity)) {
      return false;
    }
    // A string that grows by itself takes at least twice its memory.
    std::string larger;
    larger.reserve(capacity);
    larger += aText;
    aText.swap(larger);
  }
  aText += aBytes;
  return true;
}

} // namespace eelgrasstrack
