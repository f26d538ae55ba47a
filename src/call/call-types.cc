#include "call/call-types.h"

namespace eelgrasstrack {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;

bool
ProvesNotRun(const hop_answer& aAnswer)
{
  bool refusal = aAnswer.head.status == kServiceUnavailable ||
                 aAnswer.head.status == kTooManyRequests;
  return refusal && HeaderValue(aAnswer.head.headers, "x-not-run") == "true";
}

} // namespace

try_verdict
VerdictOf(const hop_answer& aAnswer)
{
  if (!aAnswer.Failed()) {
    if (ProvesNotRun(aAnswer)) {
      return try_verdict::no_evidence;
    }
    return aAnswer.head.status >= kFirstServerError ? try_verdict::bad
                                                    : try_verdict::good;
  }
  if (!aAnswer.from_last_hop) {
    return try_verdict::no_evidence;
  }
  switch (aAnswer.head.failure.kind) {
    case error_kind::upstream_broken:
    case error_kind::upstream_unreachable:
    case error_kind::deadline_exceeded:
      return try_verdict::bad;
    default:
      return try_verdict::no_evidence;
  }
}

std::optional<error>
FailureOf(const hop_answer& aAnswer)
{
  if (aAnswer.Failed()) {
    return aAnswer.head.failure;
  }
  if (ProvesNotRun(aAnswer)) {
    return error{ error_kind::overloaded,
                  "the upstream refused the request before running it",
                  execution::not_run };
  }
  return std::nullopt;
}

} // namespace eelgrasstrack
