#ifndef EELGRASSTRACK_TEST_HARNESS_ANSWER_CASES_H_
#define EELGRASSTRACK_TEST_HARNESS_ANSWER_CASES_H_

#include <string>
#include <vector>

#include "harness/raw-server.h"

namespace eelgrasstrack::test {

/// Stands in the text of an answer for the fields that a server of the kind
/// must send.
constexpr std::string_view kOwnFields = "{fields}";

/// What a server sends as its answer to a GET request, and what its client must
/// make of it.
struct answer_case
{
  std::string name;
  /// Holds `kOwnFields`.
  std::string text;
  server_end end = server_end::keep;
  /// The answer is complete and valid.
  bool whole = false;
  int status = 200;
  std::string body;
};

/// The text of a case with the fields of the server.
std::string
TextOf(const answer_case& aCase, const std::string& aFields);

/// How the answer ends: by its length, its chunks or its connection; in order,
/// half or by a reset; before, in and after its head.
std::vector<answer_case>
EndCases();

/// What the first line and the fields of a head hold.
std::vector<answer_case>
HeadCases();

/// A head with each byte that the name of a field may not hold.
std::vector<answer_case>
FieldNameByteCases();

/// Chunk sizes, extensions and trailers.
std::vector<answer_case>
ChunkCases();

/// Interim answers and bytes after the answer.
std::vector<answer_case>
NeighbourCases();

/// Bytes without end that are no answer, each with far more than a head or a
/// line may have.
std::vector<answer_case>
EndlessCases();

/// All cases.
std::vector<answer_case>
AnswerCases();

/// An ordinary answer, by which a client shows that it is still in step.
answer_case
PlainAnswer();

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_ANSWER_CASES_H_
