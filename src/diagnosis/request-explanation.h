#ifndef EELGRASSTRACK_DIAGNOSIS_REQUEST_EXPLANATION_H_
#define EELGRASSTRACK_DIAGNOSIS_REQUEST_EXPLANATION_H_

#include <istream>
#include <string>
#include <vector>

#include "base/clock.h"

namespace eelgrasstrack {

/// One line of a node's log.
struct log_record
{
  /// Milliseconds since the Unix epoch, by the clock of the node.
  std::int64_t time_ms = 0;
  std::string node;
  std::string event;
  /// Id of the request that the event belongs to, or empty.
  std::string request;
  /// The line as it was written.
  std::string line;
};

/// The records of a log and the number of lines that are not records.
struct log_content
{
  std::vector<log_record> records;
  std::size_t skipped = 0;
};

/// Reads lines in the JSON log format. Other lines are skipped and counted.
log_content
ReadLog(std::istream& aLines);

/// The log records of one request and the cause of its outcome.
struct request_explanation
{
  /// Records of the request on all nodes, in order of time.
  std::vector<log_record> lines;
  /// Records of other events that may have affected the request: on the same
  /// nodes, from shortly before its first record to its last one.
  std::vector<log_record> context;
  /// How the request ended, as a sentence for people.
  std::string cause;
};

/// Collects the records of a request from the logs of all nodes and determines
/// how it ended.
request_explanation
ExplainRequest(const std::vector<log_record>& aRecords,
               const std::string& aRequest);

/// Formats an explanation as text, one line per record.
std::string
TextOf(const request_explanation& aExplanation);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DIAGNOSIS_REQUEST_EXPLANATION_H_
