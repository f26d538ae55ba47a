#include "proxy/hop-fields.h"

#include "base/json-decode.h"
#include "base/parse-number.h"
#include "proxy/instance-notices.h"

namespace eelgrasstrack {

namespace {

/// Stands for an empty word.
constexpr std::string_view kEmptyWord = "-";
constexpr std::string_view kIdempotent = "idempotent";
constexpr std::string_view kNotIdempotent = "once";
constexpr std::string_view kNotRun = "not_run";
constexpr std::string_view kMayHaveRun = "unknown";
constexpr std::string_view kReached = "reached";
constexpr std::string_view kUnreached = "unreached";

/// Reads words separated by spaces. A missing or malformed word makes the
/// reader invalid.
class word_reader
{
public:
  explicit word_reader(std::string_view aText)
    : mRemaining(aText)
  {
  }

  std::string_view ReadWord()
  {
    std::size_t space = mRemaining.find(' ');
    std::string_view word = mRemaining.substr(0, space);
    mRemaining = space == std::string_view::npos ? std::string_view()
                                                 : mRemaining.substr(space + 1);
    mValid = mValid && !word.empty();
    return word;
  }

  template<typename T>
  T ReadNumber()
  {
    std::optional<T> number = ParseNumber<T>(ReadWord());
    mValid = mValid && number;
    return number.value_or(T{});
  }

  /// Returns true for the first word and false for the second; any other word
  /// is malformed.
  bool ReadChoice(std::string_view aFirst, std::string_view aSecond)
  {
    std::string_view word = ReadWord();
    mValid = mValid && (word == aFirst || word == aSecond);
    return word == aFirst;
  }

  /// Reads a number of milliseconds; it is negative if the time has passed.
  duration ReadDuration()
  {
    auto number = ReadNumber<std::int64_t>();
    if (number < -kMaxTimeMs || number > kMaxTimeMs) {
      mValid = false;
      return duration(0);
    }
    return std::chrono::milliseconds(number);
  }

  bool HasMore() const { return !mRemaining.empty(); }
  bool IsValid() const { return mValid; }

private:
  std::string_view mRemaining;
  bool mValid = true;
};

/// Joins words with spaces.
std::string
JoinWords(std::initializer_list<std::string_view> aWords)
{
  std::string text;
  for (std::string_view word : aWords) {
    if (!text.empty()) {
      text += ' ';
    }
    text += word.empty() ? kEmptyWord : word;
  }
  return text;
}

std::string
MillisecondsText(duration aTime)
{
  return std::to_string(Milliseconds(aTime));
}

} // namespace

std::string
EncodeCall(const forwarded_request& aRequest, time_point aNow)
{
  return JoinWords({ aRequest.instance,
                     aRequest.route,
                     std::to_string(aRequest.priority),
                     aRequest.idempotent ? kIdempotent : kNotIdempotent,
                     MillisecondsText(aRequest.soft_deadline - aNow),
                     MillisecondsText(aRequest.deadline - aNow),
                     aRequest.caller_service,
                     RequestLimitText(aRequest.request_limit),
                     std::to_string(aRequest.crashes.epoch),
                     std::to_string(aRequest.crashes.crashes) });
}

result<void>
DecodeCall(std::string_view aText, time_point aNow, forwarded_request& aRequest)
{
  word_reader words(aText);
  aRequest.instance = words.ReadWord();
  aRequest.route = words.ReadWord();
  aRequest.priority = words.ReadNumber<unsigned>();
  aRequest.idempotent = words.ReadChoice(kIdempotent, kNotIdempotent);
  aRequest.soft_deadline = aNow + words.ReadDuration();
  aRequest.deadline = aNow + words.ReadDuration();
  std::string_view service = words.ReadWord();
  aRequest.caller_service = service == kEmptyWord ? "" : service;
  if (words.HasMore()) { // nodes of earlier versions do not send it
    result<std::optional<double>> limit = ParseRequestLimit(words.ReadWord());
    if (!limit) {
      return tl::unexpected<error>(limit.error());
    }
    aRequest.request_limit = *limit;
  }
  if (words.HasMore()) {
    aRequest.crashes.epoch = words.ReadNumber<std::uint32_t>();
    aRequest.crashes.crashes = words.ReadNumber<std::uint32_t>();
  }
  if (!words.IsValid()) {
    return Fail(error_kind::invalid_argument,
                "hop request: Mesh-Call field missing or malformed");
  }
  return {};
}

std::string
EncodeLoad(const run_load& aLoad)
{
  return JoinWords({ std::to_string(aLoad.busy),
                     std::to_string(aLoad.waiting),
                     std::to_string(aLoad.slots),
                     MillisecondsText(aLoad.average_duration),
                     MillisecondsText(aLoad.link_wait),
                     MillisecondsText(aLoad.limit_wait) });
}

std::optional<run_load>
DecodeLoad(std::string_view aText)
{
  word_reader words(aText);
  run_load load;
  load.busy = words.ReadNumber<unsigned>();
  load.waiting = words.ReadNumber<unsigned>();
  load.slots = words.ReadNumber<unsigned>();
  load.average_duration = words.ReadDuration();
  if (words.HasMore()) { // nodes of earlier versions do not send it
    load.link_wait = words.ReadDuration();
  }
  if (words.HasMore()) {
    load.limit_wait = words.ReadDuration();
  }
  if (!words.IsValid() || load.slots == 0) {
    return std::nullopt;
  }
  return load;
}

std::string
EncodeFailure(const run_failure& aFailure)
{
  return JoinWords({ NameOf(aFailure.reason),
                     aFailure.not_run ? kNotRun : kMayHaveRun,
                     aFailure.reached_instance ? kReached : kUnreached,
                     MillisecondsText(aFailure.retry_after) });
}

std::optional<run_failure>
DecodeFailure(std::string_view aText)
{
  word_reader words(aText);
  run_failure failure;
  std::optional<run_failure_reason> reason =
    RunFailureReasonFromName(words.ReadWord());
  failure.not_run = words.ReadChoice(kNotRun, kMayHaveRun);
  failure.reached_instance = words.ReadChoice(kReached, kUnreached);
  failure.retry_after = words.ReadDuration();
  if (!words.IsValid() || !reason) {
    return std::nullopt;
  }
  failure.reason = *reason;
  return failure;
}

} // namespace eelgrasstrack
