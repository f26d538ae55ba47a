#include "call/call-types.h"

namespace eelgrasstrack {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;

/// Whether the upstream declares that it refused the request without running
/// it.
bool
ProvesNotRun(const hop_answer& aAnswer)
{
  bool refusal = aAnswer.head.status == kServiceUnavailable ||
                 aAnswer.head.status == kTooManyRequests;
  return refusal && HeaderValue(aAnswer.head.headers, "x-not-run") == "true";
}

} // namespace

attempt_result
ClassifyAnswer(const hop_answer& aAnswer)
{
  if (!aAnswer.IsFailure()) {
    if (ProvesNotRun(aAnswer)) {
      return attempt_result::no_evidence;
    }
    return aAnswer.head.status >= kFirstServerError ? attempt_result::failure
                                                    : attempt_result::success;
  }
  if (!aAnswer.from_last_hop) {
    return attempt_result::no_evidence;
  }
  switch (aAnswer.head.failure.kind) {
    case error_kind::upstream_broken:
    case error_kind::upstream_unreachable:
    case error_kind::deadline_exceeded:
      return attempt_result::failure;
    default:
      return attempt_result::no_evidence;
  }
}

std::optional<error>
FailureOf(const hop_answer& aAnswer)
{
  if (aAnswer.IsFailure()) {
    return aAnswer.head.failure;
  }
  if (ProvesNotRun(aAnswer)) {
    return error{ error_kind::overloaded,
                  "upstream refused the request without running it",
                  execution::not_run };
  }
  return std::nullopt;
}

} // namespace eelgrasstrack
