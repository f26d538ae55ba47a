#ifndef EELGRASSTRACK_TEST_HARNESS_INVALID_STATUSES_H_
#define EELGRASSTRACK_TEST_HARNESS_INVALID_STATUSES_H_

#include <string>
#include <vector>

namespace eelgrasstrack::test {

/// Status words of answers that are not valid: neither final (200 to 599) nor
/// interim, a change of protocol that no request asks for, and words that are
/// not three digits.
inline std::vector<std::string>
InvalidStatusWords()
{
  return { "000", "001", "099", "101", "600",  "999",  "abc",
           "2x0", "20",  "2",   "-20", "2000", "0200", "" };
}

/// An answer without a body that has this status word.
inline std::string
AnswerWithStatus(const std::string& aWord, const std::string& aFields)
{
  return "HTTP/1.1 " + aWord + " Odd\r\n" + aFields +
         "Content-Length: 0\r\n\r\n";
}

/// Interim answers in a row.
inline std::string
InterimAnswers(unsigned aCount)
{
  std::string text;
  for (unsigned i = 0; i < aCount; ++i) {
    text += "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  }
  return text;
}

/// Interim answers that may precede the answer to one request.
constexpr unsigned kMaxInterim = 8;

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_INVALID_STATUSES_H_
