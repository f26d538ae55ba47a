#include "proxy/hop-fields.h"

#include <charconv>

namespace eelgrasstrack {

namespace {

constexpr std::string_view kIdempotent = "idempotent";
constexpr std::string_view kOnce = "once";
constexpr std::string_view kNotRun = "not_run";
constexpr std::string_view kUnknown = "unknown";
constexpr std::string_view kReached = "reached";
constexpr std::string_view kUnreached = "unreached";

/// Reads words one after the other; a wrong one makes all fail.
class word_reader
{
public:
  explicit word_reader(std::string_view aText)
    : mLeft(aText)
  {
  }

  std::string_view Word()
  {
    std::size_t space = mLeft.find(' ');
    std::string_view word = mLeft.substr(0, space);
    mLeft = space == std::string_view::npos ? std::string_view()
                                            : mLeft.substr(space + 1);
    mGood = mGood && !word.empty();
    return word;
  }

  template<typename T>
  T Number()
  {
    std::string_view word = Word();
    T number{};
    auto parsed =
      std::from_chars(word.data(), word.data() + word.size(), number);
    mGood = mGood && parsed.ec == std::errc() &&
            parsed.ptr == word.data() + word.size();
    return number;
  }

  /// True for the first word, false for the second.
  bool Either(std::string_view aFirst, std::string_view aSecond)
  {
    std::string_view word = Word();
    mGood = mGood && (word == aFirst || word == aSecond);
    return word == aFirst;
  }

  duration Time() { return std::chrono::milliseconds(Number<std::int64_t>()); }

  bool Good() const { return mGood; }

private:
  std::string_view mLeft;
  bool mGood = true;
};

std::string
JoinWords(std::initializer_list<std::string_view> aWords)
{
  std::string text;
  for (std::string_view word : aWords) {
    if (!text.empty()) {
      text += ' ';
    }
    text += word.empty() ? std::string_view("-") : word;
  }
  return text;
}

std::string
TextOf(duration aTime)
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
                     aRequest.idempotent ? kIdempotent : kOnce,
                     TextOf(aRequest.soft_deadline - aNow),
                     TextOf(aRequest.deadline - aNow),
                     aRequest.caller_service });
}

result<void>
DecodeCall(std::string_view aText, time_point aNow, forwarded_request& aRequest)
{
  word_reader words(aText);
  aRequest.instance = words.Word();
  aRequest.route = words.Word();
  aRequest.priority = words.Number<unsigned>();
  aRequest.idempotent = words.Either(kIdempotent, kOnce);
  aRequest.soft_deadline = aNow + words.Time();
  aRequest.deadline = aNow + words.Time();
  aRequest.caller_service = words.Word();
  if (!words.Good()) {
    return Fail(error_kind::invalid_argument, "call of another node");
  }
  return {};
}

std::string
EncodeLoad(const run_load& aLoad)
{
  return JoinWords({ std::to_string(aLoad.busy),
                     std::to_string(aLoad.waiting),
                     std::to_string(aLoad.slots),
                     TextOf(aLoad.average_duration) });
}

std::optional<run_load>
DecodeLoad(std::string_view aText)
{
  word_reader words(aText);
  run_load load;
  load.busy = words.Number<unsigned>();
  load.waiting = words.Number<unsigned>();
  load.slots = words.Number<unsigned>();
  load.average_duration = words.Time();
  if (!words.Good() || load.slots == 0) {
    return std::nullopt;
  }
  return load;
}

std::string
EncodeFailure(const run_failure& aFailure)
{
  return JoinWords({ NameOf(aFailure.reason),
                     aFailure.not_run ? kNotRun : kUnknown,
                     aFailure.reached_instance ? kReached : kUnreached,
                     TextOf(aFailure.retry_after) });
}

std::optional<run_failure>
DecodeFailure(std::string_view aText)
{
  word_reader words(aText);
  run_failure failure;
  std::optional<run_failure_reason> reason =
    RunFailureReasonFromName(words.Word());
  failure.not_run = words.Either(kNotRun, kUnknown);
  failure.reached_instance = words.Either(kReached, kUnreached);
  failure.retry_after = words.Time();
  if (!words.Good() || !reason) {
    return std::nullopt;
  }
  failure.reason = *reason;
  return failure;
}

} // namespace eelgrasstrack
