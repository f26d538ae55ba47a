#ifndef EELGRASSTRACK_CALL_CALL_TYPES_H_
#define EELGRASSTRACK_CALL_CALL_TYPES_H_

#include <functional>

#include "config/config-knowledge.h"
#include "peer/messages.h"
#include "routing/upstream-picker.h"

namespace eelgrasstrack {

/// A call to a last hop, with its complete body.
struct hop_call
{
  call_message head;
  std::string body;
};

/// The answer of a last hop, with its complete body.
struct hop_answer
{
  answer_message head;
  std::string body;
  /// False if the link to the last hop failed and this answer was created
  /// locally.
  bool from_last_hop = true;

  bool IsFailure() const { return head.status == 0; }
};

using hop_callback = std::function<void(hop_answer)>;
/// Identifies a call in a `hop_transport`, for cancelling it.
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

/// Result of one attempt of a call, as evidence for a rollout.
enum class attempt_result
{
  success,
  /// The version failed: it answered with a server error or an invalid
  /// response, could not be reached, or did not answer in time.
  failure,
  /// Not attributable to the version: the call was refused because of overload,
  /// the link was lost, or the call was cancelled.
  no_evidence,
};

/// One attempt of a call on a route that an open rollout covers.
struct observed_attempt
{
  std::string rollout;
  std::string route;
  std::string caller;
  node_id node;
  /// Whether the call was sent to the new version.
  bool exposed = false;
  /// Whether the upstream is within its warm-up time; its service time is then
  /// not representative.
  bool warming = false;
  attempt_result result = attempt_result::no_evidence;
  /// Time that the upstream took, without queueing at the last hop.
  duration service_time{};
};

using attempt_id = std::uint64_t;

/// Receives the attempts by which rollouts are evaluated.
class attempt_observer
{
public:
  virtual ~attempt_observer() = default;
  virtual attempt_id OnAttemptStarted(const observed_attempt& aAttempt) = 0;
  virtual void OnAttemptFinished(attempt_id aId,
                                 const observed_attempt& aAttempt) = 0;
  /// Called when a call that uses the new version, or failed on it before, ends
  /// with a server error.
  virtual void OnCallFailed(const std::string& aRollout,
                            const std::string& aCaller) = 0;
};

/// The state of the mesh that the first hop needs for routing.
class routing_view
{
public:
  virtual ~routing_view() = default;
  /// Whether this node has a current configuration.
  virtual bool Ready() const = 0;
  virtual const snapshot_ptr& Config() const = 0;
  /// Source and age of the configuration.
  virtual const config_knowledge& Knowledge() const = 0;
  virtual const rollout_state_table& Rollouts() const = 0;
  /// Upstreams of a service version that accept calls.
  virtual const std::vector<upstream_candidate>& Candidates(
    const std::string& aService,
    const std::string& aVersion) = 0;
};

/// Classifies an answer as evidence about the version that sent it.
attempt_result
ClassifyAnswer(const hop_answer& aAnswer);

/// Returns the error of a failed answer. An answer in which the upstream
/// declares that it did not run the request counts as overload. Returns nothing
/// for any other answer.
std::optional<error>
FailureOf(const hop_answer& aAnswer);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CALL_CALL_TYPES_H_
