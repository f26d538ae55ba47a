#include "diagnosis/request-explanation.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace eelgrasstrack {

namespace {

using nlohmann::json;

/// How long before a request's first record an event may have affected it.
constexpr std::int64_t kContextWindowMs = 3000;

/// An event that ends a request.
struct terminal_event
{
  std::string_view event;
  std::string_view meaning;
};

/// Events that end a request, and their meaning.
constexpr std::array<terminal_event, 11> kTerminalEvents{ {
  { "refused_full",
    "refused, not run: no instance had capacity in time; the answer stated "
    "when to retry" },
  { "no_instance", "refused, not run: no instance of the service is known" },
  { "refused_by_instance",
    "refused, not run: the instances that were attempted refused it" },
  { "refused_quarantined",
    "refused, not run: the same request (path, caller and body) was running at "
    "three crashes of instances in a row" },
  { "refused_quota",
    "refused, not run: the caller's organisation was at its limit, or its "
    "quota "
    "owner was out of reach" },
  { "node_stopping", "refused, not run: the node was shutting down" },
  { "no_configuration", "refused, not run: the node had no configuration yet" },
  { "no_route",
    "answered 404: the configuration of the node had no route for it" },
  { "answer_broken",
    "answered 502: the answer of the instance was lost or broken, and the "
    "request could not be retried" },
  { "timed_out", "answered 504: no answer within the timeout of the route" },
  { "failed_by_instance", "the instance itself answered with a server error" },
} };

/// Events that change the state of a node, or what it knows about hosts,
/// instances, the configuration, rollouts and the store.
constexpr std::array<std::string_view, 17> kContextEvents{
  "host_lost",        "host_regained",       "host_dropped",
  "store_lost",       "store_regained",      "configuration_taken",
  "instance_changed", "instance_left",       "instance_silent",
  "move_begins",      "move_step",           "move_step_learned",
  "node_started",     "node_stopping",       "configuration_refused",
  "instance_crashed", "request_quarantined",
};

std::string
TextField(const json& aLine, const char* aName)
{
  auto found = aLine.find(aName);
  return found != aLine.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

std::optional<log_record>
RecordOf(const std::string& aLine)
{
  json line = json::parse(aLine, nullptr, false);
  if (!line.is_object() || !line.contains("event")) {
    return std::nullopt;
  }
  log_record record;
  record.event = TextField(line, "event");
  record.node = TextField(line, "node");
  record.request = TextField(line, "request");
  record.line = aLine;
  auto time = line.find("time_ms");
  if (time != line.end() && time->is_number_integer()) {
    record.time_ms = time->get<std::int64_t>();
  }
  return record;
}

bool
IsContextEvent(std::string_view aEvent)
{
  return std::find(kContextEvents.begin(), kContextEvents.end(), aEvent) !=
         kContextEvents.end();
}

void
SortByTime(std::vector<log_record>& aRecords)
{
  std::stable_sort(aRecords.begin(),
                   aRecords.end(),
                   [](const log_record& aLeft, const log_record& aRight) {
                     return aLeft.time_ms < aRight.time_ms;
                   });
}

std::vector<log_record>
ContextOf(const std::vector<log_record>& aRecords,
          const std::vector<log_record>& aLines)
{
  std::set<std::string> nodes;
  for (const log_record& line : aLines) {
    nodes.insert(line.node);
  }
  std::int64_t from = aLines.front().time_ms - kContextWindowMs;
  std::int64_t until = aLines.back().time_ms;
  std::vector<log_record> context;
  for (const log_record& record : aRecords) {
    bool inTime = record.time_ms >= from && record.time_ms <= until;
    if (inTime && IsContextEvent(record.event) &&
        nodes.count(record.node) > 0) {
      context.push_back(record);
    }
  }
  SortByTime(context);
  return context;
}

std::string
CauseOf(const std::vector<log_record>& aLines)
{
  for (auto line = aLines.rbegin(); line != aLines.rend(); ++line) {
    for (const terminal_event& row : kTerminalEvents) {
      if (line->event == row.event) {
        return std::string(row.meaning);
      }
    }
  }
  return "its outcome is not in these logs: it was served or is in progress, "
         "or the caller disconnected";
}

} // namespace

log_content
ReadLog(std::istream& aLines)
{
  log_content content;
  std::string text;
  while (std::getline(aLines, text)) {
    std::optional<log_record> record = RecordOf(text);
    if (record) {
      content.records.push_back(std::move(*record));
    } else {
      ++content.skipped;
    }
  }
  return content;
}

request_explanation
ExplainRequest(const std::vector<log_record>& aRecords,
               const std::string& aRequest)
{
  request_explanation explanation;
  std::copy_if(aRecords.begin(),
               aRecords.end(),
               std::back_inserter(explanation.lines),
               [&aRequest](const log_record& aRecord) {
                 return aRecord.request == aRequest;
               });
  if (explanation.lines.empty()) {
    explanation.cause =
      "no record of this request: its first attempt succeeded, "
      "or its log is not among these";
    return explanation;
  }
  SortByTime(explanation.lines);
  explanation.context = ContextOf(aRecords, explanation.lines);
  explanation.cause = CauseOf(explanation.lines);
  return explanation;
}

std::string
TextOf(const request_explanation& aExplanation)
{
  std::string text;
  for (const log_record& record : aExplanation.lines) {
    text += record.line + "\n";
  }
  if (!aExplanation.context.empty()) {
    text += "other events on the same nodes:\n";
  }
  for (const log_record& record : aExplanation.context) {
    text += "  " + record.line + "\n";
  }
  return text + "cause: " + aExplanation.cause + "\n";
}

} // namespace eelgrasstrack
