#ifndef EELGRASSTRACK_PROXY_FORWARDED_REQUEST_H_
#define EELGRASSTRACK_PROXY_FORWARDED_REQUEST_H_

#include <memory>
#include <tl/expected.hpp>

#include "base/error.h"
#include "proxy/run-queue.h"
#include "wire/message.h"

namespace eelgrasstrack {

/// Names of the header fields that callers, upstreams and proxies agree on.
struct header_names
{
  /// Identifies one attempt of a caller; echoed in its answer.
  std::string request_id;
  /// Milliseconds that the sender waits for the answer.
  std::string timeout_ms;
  /// Instance that alone may run the request.
  std::string target_instance;
  /// Service of the host where the request began.
  std::string caller_service;
  /// Mark of an answer that an instance made.
  std::string server_stamp;
  /// In an answer: the instance did not run the request.
  std::string not_executed;
};

/// A request on its way to the instance that was chosen for it.
struct forwarded_request
{
  /// Without the fields that concern one connection or that the proxies set.
  message_head head;
  /// The first part of the body; all of it if `body_complete`.
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
  unsigned priority = 0;
  time_point soft_deadline{};
  time_point deadline{};
};

enum class run_failure_reason
{
  /// No slot, and none in time.
  full,
  /// The instance or its node is leaving.
  leaving,
  /// The instance that was asked for is not here.
  wrong_instance,
  /// No connection came to be.
  unreachable,
  /// The instance said that it did not run the request.
  refused_by_instance,
  /// The answer was cut short, was no answer, or never came.
  broken,
  /// The host of the instance fell silent.
  host_unresponsive,
};

std::string_view
NameOf(run_failure_reason aReason);

std::optional<run_failure_reason>
RunFailureReasonFromName(std::string_view aName);

/// Why a request has no answer.
struct run_failure
{
  run_failure_reason reason = run_failure_reason::broken;
  /// Proven not to have run, now or later.
  bool not_run = false;
  /// It was sent to an instance.
  bool reached_instance = false;
  /// When there may be room.
  duration retry_after{ 0 };
  std::optional<run_load> load;
};

/// Receives the answer to a request: a start, the body in parts and an end, or
/// a failure, which may also follow a start.
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
  /// The host of the instance fell silent. Whether the request is to be ended
  /// there, as it may run elsewhere; otherwise its answer may still come.
  virtual bool ShouldCancelOnUnresponsiveHost() { return false; }
  /// The receiver of a streamed request body can take more.
  virtual void OnBodyWritable() {}
};

/// A request in progress, for the side that began it.
class run_handle
{
public:
  virtual ~run_handle() = default;
  /// Ends it; the sink hears nothing more.
  virtual void Cancel() = 0;
  virtual void SendBody(std::string_view aBytes, bool aLast) = 0;
  /// Bytes of the body that wait to leave.
  virtual std::size_t Unsent() const = 0;
  virtual void PauseAnswer(bool aPaused) = 0;
};

/// A handle, or the failure if that is known at once; then the sink hears
/// nothing.
using run_start = tl::expected<std::shared_ptr<run_handle>, run_failure>;

/// Appends the fields of a request that go to the next hop as they are.
void
AppendForwardedFields(std::string& aText, const message_head& aHead);

/// Writes the end of a request's head and its body, in parts if need be.
class request_body_writer
{
public:
  /// Appends the field that frames the body, the empty line and the first part
  /// of the body.
  void Begin(std::string& aText, const forwarded_request& aRequest);

  /// Appends a further part.
  void Append(std::string& aText, std::string_view aBytes, bool aLast) const;

private:
  body_framing mFraming = body_framing::none;
};

/// Removes the fields that must not be passed on.
void
KeepEndToEndFields(header_fields& aFields, const header_names& aNames);

/// Prefix of the fields that nodes send to each other only.
constexpr std::string_view kHopFieldPrefix = "Mesh-";

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_FORWARDED_REQUEST_H_
