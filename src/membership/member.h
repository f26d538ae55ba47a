#ifndef EELGRASSTRACK_MEMBERSHIP_MEMBER_H_
#define EELGRASSTRACK_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasstrack {

/// Name of a node: the text form of its peer endpoint, `address:port`.
using node_id = std::string;

enum class member_state
{
  alive,
  suspect,
  dead,
  left,
};

std::string_view
NameOf(member_state aState);

/// What an upstream announced to the node beside it.
struct upstream_record
{
  std::string service;
  std::string version;
  std::uint32_t slots = 0;
  /// Takes no new work.
  bool leaving = false;

  bool operator==(const upstream_record&) const = default;
};

/// One fact about a node. Of two facts about the same node the one with the
/// higher incarnation holds, then the higher sequence, then the later state in
/// the order of `member_state` (SWIM: Das, Gupta and Motivala, 2002).
struct member_record
{
  node_id node;
  std::string domain;
  std::string region;
  /// Start time of the process, raised when an older life is still believed in.
  std::uint64_t incarnation = 0;
  /// Raised by the node itself at each change of its own record.
  std::uint64_t sequence = 0;
  member_state state = member_state::alive;
  std::optional<upstream_record> upstream;

  bool operator==(const member_record&) const = default;
};

/// Whether `aLeft` holds against `aRight`.
bool
Supersedes(const member_record& aLeft, const member_record& aRight);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MEMBERSHIP_MEMBER_H_
