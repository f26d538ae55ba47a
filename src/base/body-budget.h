#ifndef EELGRASSTRACK_BASE_BODY_BUDGET_H_
#define EELGRASSTRACK_BASE_BODY_BUDGET_H_

#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrasstrack {

/// The account of a process for the bytes of bodies of one kind that it keeps:
/// of requests, of answers, or of control messages. Holders reserve bytes
/// before they keep them. A part is kept for holders of few bytes, so that
/// large bodies can't keep out ordinary requests.
class body_budget
{
public:
  /// A holder of at most this many bytes is small.
  static constexpr std::size_t kSmallBytes = 16U << 10U;
  /// One part in this many is kept for small holders.
  static constexpr std::size_t kSmallPart = 4;

  /// Without a limit, everything is granted and counted.
  body_budget() = default;
  explicit body_budget(std::size_t aLimitBytes) { SetLimit(aLimitBytes); }
  body_budget(const body_budget&) = delete;
  body_budget& operator=(const body_budget&) = delete;

  /// Changes the limit in bytes. What is held already stays held.
  void SetLimit(std::size_t aBytes) { mAccount->limit = aBytes; }
  std::size_t Limit() const { return mAccount->limit; }
  std::size_t HeldBytes() const { return mAccount->held; }
  bool IsFull() const { return HeldBytes() >= Limit(); }

private:
  friend class body_reservation;

  /// Shared with the reservations, since connections end after the node.
  struct account
  {
    std::size_t limit = std::numeric_limits<std::size_t>::max();
    std::size_t held = 0;

    /// Whether a holder may go from `aFrom` to `aTo` bytes.
    bool Admits(std::size_t aFrom, std::size_t aTo) const;
  };

  std::shared_ptr<account> mAccount = std::make_shared<account>();
};

/// The bytes that one holder has reserved. The destructor gives them back.
class body_reservation
{
public:
  /// Reserves nothing and grants everything.
  body_reservation() = default;
  explicit body_reservation(const body_budget& aBudget)
    : mAccount(aBudget.mAccount)
  {
  }
  ~body_reservation() { Release(); }
  /// The source holds nothing and grants everything.
  body_reservation(body_reservation&& aOther) noexcept;
  body_reservation& operator=(body_reservation&& aOther) noexcept;

  /// Changes the reserved bytes to `aBytes`. Returns false, and changes
  /// nothing, if they do not fit.
  bool Resize(std::size_t aBytes);
  /// Changes the reserved bytes to `aBytes`, which are kept already, also
  /// beyond the limit.
  void Force(std::size_t aBytes);
  /// Hands the bytes over to a new reservation. This one holds nothing and
  /// keeps its budget.
  body_reservation Take();
  /// Gives all bytes back.
  void Release();
  std::size_t Bytes() const { return mBytes; }

private:
  std::shared_ptr<body_budget::account> mAccount;
  std::size_t mBytes = 0;
};

/// Appends bytes to a text whose memory the reservation accounts for. Returns
/// false, and changes nothing, if the memory does not fit.
bool
AppendReserved(std::string& aText,
               std::string_view aBytes,
               body_reservation& aHeld);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_BODY_BUDGET_H_
