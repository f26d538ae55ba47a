#include "quota/permit-codec.h"

#include <nlohmann/json.hpp>

#include "base/json-decode.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr const char* kFromField = "from";
constexpr const char* kAsksField = "asks";
constexpr const char* kGrantsField = "grants";
/// Most permits that one ask may name.
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxWaitMs = 60'000;

/// Rounds up: a node that comes back too early is refused again.
std::int64_t
CeilMilliseconds(duration aTime)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aTime).count();
}

} // namespace

std::string
EncodePermitRequest(const permit_request& aRequest)
{
  json asks = json::array();
  for (const permit_ask& ask : aRequest.asks) {
    asks.push_back({ ask.organisation, ask.count });
  }
  return json({ { kFromField, aRequest.from }, { kAsksField, asks } }).dump();
}

result<permit_request>
DecodePermitRequest(const std::string& aText)
{
  return DecodeJsonText<permit_request>(
    "permit request", aText, [](const json& aDocument) {
      permit_request request;
      request.from = aDocument.at(kFromField).get<std::string>();
      for (const json& entry : aDocument.at(kAsksField)) {
        request.asks.push_back(
          { entry.at(0).get<std::string>(),
            UnsignedIn<unsigned>(entry.at(1), kMaxCount) });
      }
      return request;
    });
}

std::string
EncodePermitAnswers(const std::vector<permit_answer>& aAnswers)
{
  json grants = json::array();
  for (const permit_answer& answer : aAnswers) {
    grants.push_back({ answer.organisation,
                       answer.grant.count,
                       CeilMilliseconds(answer.grant.wait) });
  }
  return json({ { kGrantsField, grants } }).dump();
}

result<std::vector<permit_answer>>
DecodePermitAnswers(const std::string& aText)
{
  using answers = std::vector<permit_answer>;
  return DecodeJsonText<answers>(
    "permit answer", aText, [](const json& aDocument) {
      answers decoded;
      for (const json& entry : aDocument.at(kGrantsField)) {
        permit_answer answer;
        answer.organisation = entry.at(0).get<std::string>();
        answer.grant.count = UnsignedIn<unsigned>(entry.at(1), kMaxCount);
        answer.grant.wait =
          std::chrono::milliseconds(IntegerIn(entry.at(2), 0, kMaxWaitMs));
        decoded.push_back(std::move(answer));
      }
      return decoded;
    });
}

} // namespace eelgrasstrack
