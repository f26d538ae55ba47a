#ifndef EELGRASSTRACK_CALL_CALL_TYPES_H_
#define EELGRASSTRACK_CALL_CALL_TYPES_H_

#include <functional>

#include "peer/messages.h"
#include "routing/upstream-picker.h"

namespace eelgrasstrack {

/// A call to a last hop with its whole body.
struct hop_call
{
  call_message head;
  std::string body;
};

/// The answer of a last hop with its whole body.
struct hop_answer
{
  answer_message head;
  std::string body;
  /// The last hop itself said this; otherwise the link to it failed.
  bool from_last_hop = true;

  bool Failed() const { return head.status == 0; }
};

using hop_callback = std::function<void(hop_answer)>;
using hop_token = std::uint64_t;

/// Carries calls to last hops. `aDone` is called once, never before `Send`
/// returns, unless the call is cancelled.
class hop_transport
{
public:
  virtual ~hop_transport() = default;
  virtual hop_token Send(const node_id& aNode,
                         hop_call aCall,
                         duration aTimeout,
                         hop_callback aDone) = 0;
  virtual void Cancel(hop_token aToken) = 0;
};

/// How one try of a call ended, for the evidence of a rollout.
enum class try_verdict
{
  good,
  /// The version failed: an error answer, a broken answer or none in time.
  bad,
  /// Says nothing about the version: a refusal for lack of room, a lost link,
  /// a cancelled call.
  no_evidence,
};

/// One try of a call on a route that an open rollout covers.
struct observed_try
{
  std::string rollout;
  std::string route;
  std::string caller;
  node_id node;
  bool exposed = false;
  /// The upstream is within its warm-up time; its speed says nothing.
  bool warming = false;
  try_verdict verdict = try_verdict::no_evidence;
  duration service_time{};
};

using try_id = std::uint64_t;

/// Learns of the tries that rollouts are judged by.
class try_observer
{
public:
  virtual ~try_observer() = default;
  virtual try_id OnTryStarted(const observed_try& aTry) = 0;
  virtual void OnTryFinished(try_id aId, const observed_try& aTry) = 0;
  /// The caller's final answer was a failure.
  virtual void OnCallerHurt(const std::string& aRollout,
                            const std::string& aCaller) = 0;
};

/// What the first hop needs to know of the fleet.
class routing_view
{
public:
  virtual ~routing_view() = default;
  virtual bool Ready() const = 0;
  virtual const snapshot_ptr& Config() const = 0;
  virtual const rollout_state_table& Rollouts() const = 0;
  /// Upstreams that take work, by service and version.
  virtual const std::vector<upstream_candidate>& Candidates(
    const std::string& aService,
    const std::string& aVersion) = 0;
};

/// Judges the answer of a last hop.
try_verdict
VerdictOf(const hop_answer& aAnswer);

/// The error of a failed answer, or of an answer by which the upstream proves
/// that it did not run the request; otherwise nothing.
std::optional<error>
FailureOf(const hop_answer& aAnswer);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CALL_CALL_TYPES_H_
