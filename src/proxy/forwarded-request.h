#ifndef EELGRASSTRACK_PROXY_FORWARDED_REQUEST_H_
#define EELGRASSTRACK_PROXY_FORWARDED_REQUEST_H_

#include <memory>
#include <tl/expected.hpp>

#include "base/error.h"
#include "proxy/crash-count.h"
#include "proxy/run-queue.h"
#include "wire/message.h"

namespace eelgrasstrack {

/// Names of the header fields shared by callers, upstreams and proxies.
struct header_names
{
  /// Identifies one attempt of a caller. The answer echoes it.
  std::string request_id;
  /// How long the sender waits for the answer, in milliseconds.
  std::string timeout_ms;
  /// The only instance that may run the request.
  std::string target_instance;
  /// Service of the host that the request originates from.
  std::string caller_service;
  /// Set by instances in their answers. A successful answer without it was not
  /// produced by an instance.
  std::string server_stamp;
  /// Set in an answer if the instance did not run the request.
  std::string not_executed;
  /// Requests per second that an overloaded instance accepts from all hosts
  /// together.
  std::string request_limit;
  /// Set to `1` in the answers of an instance that is about to exit.
  std::string leaving;
  /// Organisation of the caller, for instances. Set by the first hop if callers
  /// need a key.
  std::string organisation;
};

/// A request that is forwarded to the instance chosen for it.
struct forwarded_request
{
  /// Without hop-by-hop fields and the fields that proxies set.
  message_head head;
  /// The first part of the body, or the whole body if `body_complete`.
  std::string body;
  bool body_complete = true;
  /// Length of the whole body, if known.
  std::optional<std::uint64_t> body_length;
  std::string request_id;
  std::string caller_service;
  std::string instance;
  /// Name of the route.
  std::string route;
  bool idempotent = false;
  /// 0 is the highest priority.
  unsigned priority = 0;
  /// An answer after this time counts as late.
  time_point soft_deadline{};
  /// The caller does not wait for an answer after this time.
  time_point deadline{};
  /// Limit of the instance in requests per second, as the first hop last
  /// received it; nothing if it received none.
  std::optional<double> request_limit;
  /// What the first hop knows of crashes beside the request.
  crash_count crashes;
};

/// Why a request was not answered.
enum class run_failure_reason
{
  /// All slots are busy and none is expected to become free in time.
  full,
  /// The instance or its node is shutting down.
  leaving,
  /// The requested instance does not run on this host.
  wrong_instance,
  /// No connection could be established.
  unreachable,
  /// The instance answered that it did not run the request.
  refused_by_instance,
  /// The answer was truncated, invalid or missing.
  broken,
  /// The host of the instance stopped responding.
  host_unresponsive,
  /// The instance crashed while it was running the request.
  crashed,
  /// The request has crashed too many instances to be sent to another.
  quarantined,
  /// The failure domain of the instance is evacuated.
  evacuated,
  /// The rest of the body did not arrive, so the request lost its slot.
  upload_stalled,
};

std::string_view
NameOf(run_failure_reason aReason);

/// Returns nullopt for an unknown name.
std::optional<run_failure_reason>
RunFailureReasonFromName(std::string_view aName);

/// Describes a request that failed without an answer.
struct run_failure
{
  run_failure_reason reason = run_failure_reason::broken;
  /// The request is known not to have run and not to run later.
  bool not_run = false;
  /// The request may have been sent to an instance.
  bool reached_instance = false;
  /// Time until the instance may have a free slot; 0 if unknown.
  duration retry_after{ 0 };
  /// Load of the instance, if reported.
  std::optional<run_load> load;
};

/// Receives the answer to a request: the head, the body in parts and the end,
/// or a failure. A failure may also follow the head.
class answer_sink
{
public:
  virtual ~answer_sink() = default;
  virtual void OnAnswer(message_head aHead,
                        std::optional<std::uint64_t> aLength,
                        const run_load& aLoad) = 0;
  virtual void OnAnswerBody(std::string_view aBytes) = 0;
  virtual void OnAnswerEnd() = 0;
  virtual void OnRunFailed(const run_failure& aFailure) = 0;
  /// Called when the host of the instance stopped responding. Returns true if
  /// the request should be cancelled there because it may run on another
  /// instance. Otherwise the answer may still arrive.
  virtual bool ShouldCancelOnUnresponsiveHost() { return false; }
  /// Called when more of a streamed request body can be sent.
  virtual void OnBodyWritable() {}
};

/// Controls a request in progress. Held by the code that started it.
class run_handle
{
public:
  virtual ~run_handle() = default;
  /// Ends the request. The sink gets no further calls.
  virtual void Cancel() = 0;
  /// Sends a further part of a streamed request body.
  virtual void SendBody(std::string_view aBytes, bool aLast) = 0;
  /// Number of body bytes that have not been sent yet.
  virtual std::size_t Unsent() const = 0;
  /// Stops or resumes reading the answer.
  virtual void PauseAnswer(bool aPaused) = 0;
};

/// A handle, or the failure if the request failed immediately. In that case the
/// sink is not called.
using run_start = tl::expected<std::shared_ptr<run_handle>, run_failure>;

/// Appends the header fields that are forwarded to the next hop unchanged.
void
AppendForwardedFields(std::string& aText, const message_head& aHead);

/// Writes the end of a request's head and the body, which may follow in parts.
class request_body_writer
{
public:
  /// Appends the Content-Length or Transfer-Encoding field, if the request has
  /// a body, the empty line and the first part of the body.
  void Begin(std::string& aText, const forwarded_request& aRequest);

  /// Appends a further part of the body.
  void Append(std::string& aText, std::string_view aBytes, bool aLast) const;

private:
  body_framing mFraming = body_framing::none;
};

/// Removes the fields that must not be forwarded: hop-by-hop fields, fields
/// exchanged between nodes, and the timeout, target instance and caller
/// service, which the proxies set themselves.
void
KeepEndToEndFields(header_fields& aFields, const header_names& aNames);

/// Prefix of the fields that only nodes send to each other.
constexpr std::string_view kHopFieldPrefix = "Mesh-";

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_FORWARDED_REQUEST_H_
