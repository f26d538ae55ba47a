#ifndef EELGRASSTRACK_MEMBERSHIP_MEMBER_H_
#define EELGRASSTRACK_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasstrack {

/// Name of a node: the text form of its peer endpoint, `address:port`.
using node_id = std::string;

/// State of a node as its peers see it. The order matters: see
/// `member_record`.
enum class member_state
{
  alive,
  suspect,
  dead,
  left,
};

std::string_view
NameOf(member_state aState);

/// What an upstream announced to the node on its host.
struct upstream_record
{
  std::string service;
  std::string version;
  /// Number of calls that the upstream works on at the same time.
  std::uint32_t slots = 0;
  /// The upstream accepts no new work.
  bool leaving = false;

  bool operator==(const upstream_record&) const = default;
};

/// State of one node, as gossiped between nodes. Of two records of the same
/// node, the higher incarnation wins; if equal, the higher sequence; if equal,
/// the later state in the order of `member_state` (SWIM: Das, Gupta and
/// Motivala, 2002).
struct member_record
{
  node_id node;
  std::string domain;
  std::string region;
  /// Start time of the process in Unix milliseconds. A node that meets a record
  /// of itself with a higher incarnation continues with that one plus 1.
  std::uint64_t incarnation = 0;
  /// Incremented by the node itself with each change of its own record.
  std::uint64_t sequence = 0;
  member_state state = member_state::alive;
  std::optional<upstream_record> upstream;

  bool operator==(const member_record&) const = default;
};

/// Whether `aLeft` replaces `aRight`, a record of the same node.
bool
Supersedes(const member_record& aLeft, const member_record& aRight);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MEMBERSHIP_MEMBER_H_
