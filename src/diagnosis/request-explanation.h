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
  /// Empty if the event belongs to no request.
  std::string request;
  /// The line as it was written.
  std::string line;
};

/// The records of a log, and how many lines were none.
struct log_content
{
  std::vector<log_record> records;
  std::size_t skipped = 0;
};

/// Reads lines in the JSON format of the log. Other lines are counted.
log_content
ReadLog(std::istream& aLines);

/// What the logs say of one request.
struct request_explanation
{
  /// Lines of the request, in the order of their times.
  std::vector<log_record> lines;
  /// What else the nodes of those lines learned or lost shortly before and
  /// while it ran.
  std::vector<log_record> context;
  /// How it ended, in plain words.
  std::string cause;
};

/// Puts the lines of a request, over all nodes, in order and names its cause.
request_explanation
ExplainRequest(const std::vector<log_record>& aRecords,
               const std::string& aRequest);

/// The explanation as text, one line a record.
std::string
TextOf(const request_explanation& aExplanation);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DIAGNOSIS_REQUEST_EXPLANATION_H_
