#include "harness/answer-cases.h"

#include <cctype>
#include <cstdio>

#include "harness/invalid-statuses.h"

namespace eelgrasstrack::test {

namespace {

const std::string kBody = "whole";
const std::string kLine = "HTTP/1.1 200 OK\r\n";
const std::string kFields(kOwnFields);
const std::string kLength = "Content-Length: 5\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kChunks = "5\r\nwhole\r\n0\r\n\r\n";
/// More than any limit for a head or a line.
constexpr std::size_t kEndlessBytes = 1U << 20U;

answer_case
Whole(std::string aName,
      std::string aText,
      server_end aEnd = server_end::keep,
      std::string aBody = kBody)
{
  return {
    std::move(aName), std::move(aText), aEnd, true, 200, std::move(aBody)
  };
}

answer_case
Broken(std::string aName, std::string aText, server_end aEnd = server_end::keep)
{
  return { std::move(aName), std::move(aText), aEnd, false, 0, "" };
}

/// An otherwise whole answer with an additional line in its head.
std::string
WithLine(const std::string& aLine)
{
  return kLine + kFields + aLine + "\r\n" + kLength + "\r\n" + kBody;
}

std::string
WithChunks(const std::string& aChunks)
{
  return kLine + kFields + kChunked + "\r\n" + aChunks;
}

const char*
NameOf(server_end aEnd)
{
  switch (aEnd) {
    case server_end::close:
      return "closed";
    case server_end::half_close:
      return "half closed";
    case server_end::reset:
      return "reset";
    default:
      return "kept";
  }
}

/// RFC 9110, section 5.6.2.
bool
IsTokenByte(int aByte)
{
  return aByte < 0x80 &&
         (std::isalnum(aByte) != 0 ||
          std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(aByte)) !=
            std::string_view::npos);
}

void
Append(std::vector<answer_case>& aCases, std::vector<answer_case> aMore)
{
  for (answer_case& each : aMore) {
    aCases.push_back(std::move(each));
  }
}

} // namespace

std::string
TextOf(const answer_case& aCase, const std::string& aFields)
{
  std::string text = aCase.text;
  std::size_t at = text.find(kOwnFields);
  return at == std::string::npos ? text
                                 : text.replace(at, kOwnFields.size(), aFields);
}

answer_case
PlainAnswer()
{
  return Whole("plain", kLine + kFields + kLength + "\r\n" + kBody);
}

std::vector<answer_case>
EndCases()
{
  std::vector<answer_case> cases;
  const std::string head = kLine + kFields;
  for (server_end end :
       { server_end::close, server_end::half_close, server_end::reset }) {
    std::string how = std::string(", ") + NameOf(end);
    bool inOrder = end != server_end::reset;
    cases.push_back(Broken("nothing" + how, "", end));
    cases.push_back(Broken("part of the first line" + how, "HTTP/1.", end));
    cases.push_back(Broken("first line" + how, kLine, end));
    cases.push_back(Broken("part of the head" + how, head + "Content-Le", end));
    cases.push_back(
      Broken("head without its empty line" + how, head + kLength, end));
    cases.push_back(
      Broken("no body with a length" + how, head + kLength + "\r\n", end));
    cases.push_back(
      Broken("part of a length" + how, head + kLength + "\r\nwho", end));
    cases.push_back(
      Whole("length" + how, head + kLength + "\r\n" + kBody, end));
    cases.push_back(Broken("no chunk" + how, WithChunks(""), end));
    cases.push_back(
      Broken("part of a chunk" + how, WithChunks("5\r\nwho"), end));
    cases.push_back(
      Broken("no last chunk" + how, WithChunks("5\r\nwhole\r\n"), end));
    cases.push_back(Broken(
      "part of the last chunk" + how, WithChunks("5\r\nwhole\r\n0\r\n"), end));
    cases.push_back(Whole("chunks" + how, WithChunks(kChunks), end));
    std::string text = head + "\r\n" + kBody;
    cases.push_back(inOrder ? Whole("no length" + how, text, end)
                            : Broken("no length" + how, text, end));
    text = head + "\r\n";
    cases.push_back(inOrder ? Whole("no length, empty" + how, text, end, "")
                            : Broken("no length, empty" + how, text, end));
  }
  cases.push_back(Whole("length, kept", head + kLength + "\r\n" + kBody));
  cases.push_back(Whole("chunks, kept", WithChunks(kChunks)));
  cases.push_back(Whole("version 1.0, no length, closed",
                        "HTTP/1.0 200 OK\r\n" + kFields + "\r\n" + kBody,
                        server_end::close));
  return cases;
}

std::vector<answer_case>
HeadCases()
{
  std::vector<answer_case> cases;
  for (const std::string& word : InvalidStatusWords()) {
    cases.push_back(Broken("status '" + word + "'",
                           "HTTP/1.1 " + word + " Odd\r\n" + kFields + kLength +
                             "\r\n" + kBody));
  }
  for (const char* line : { "HTTP/2.0 200 OK",
                            "HTTP/0.9 200 OK",
                            "HTTP/1.1200 OK",
                            "ICY 200 OK",
                            "HTTP/1.1 200 O\x01K",
                            "GET / HTTP/1.1" }) {
    cases.push_back(
      Broken("first line '" + std::string(line) + "'",
             line + ("\r\n" + kFields) + kLength + "\r\n" + kBody));
  }
  for (const char* line : { "X Odd: 1",
                            "X-Odd : 1",
                            "X-Odd\t: 1",
                            " X-Odd: 1",
                            "\tX-Odd: 1",
                            " ",
                            ": 1",
                            "X-Odd",
                            "X-Odd: a\x01z",
                            "X-Odd: a\x7Fz",
                            "X-Odd: a\rz",
                            "X-Odd: a\nX-Even: z",
                            "Content-Length : 3",
                            "Content Length: 3",
                            "Content-Length: 3",
                            "Content-Length: -5",
                            "Content-Length: +5",
                            "Content-Length: 5x",
                            "Content-Length: 0x5",
                            "Content-Length: 5, 3",
                            "Content-Length: 18446744073709551621",
                            "Content-Length:",
                            "Transfer-Encoding: chunked",
                            "Transfer-Encoding : chunked",
                            "Transfer-Encoding: gzip",
                            "Transfer-Encoding: identity" }) {
    cases.push_back(Broken("line '" + std::string(line) + "'", WithLine(line)));
  }
  cases.push_back(
    Broken("line with a zero byte", WithLine(std::string("X-Odd: a\0z", 10))));
  cases.push_back(
    Broken("blank before the first field",
           kLine + " X-Odd: 1\r\n" + kFields + kLength + "\r\n" + kBody));
  for (const char* coding :
       { "gzip", "identity", "gzip, chunked", "chunked, gzip", "chunkedx" }) {
    cases.push_back(Broken("coding '" + std::string(coding) + "'",
                           kLine + kFields + "Transfer-Encoding: " + coding +
                             "\r\n\r\n" + kChunks,
                           server_end::close));
  }
  cases.push_back(
    Broken("coding with a blank before the colon",
           kLine + kFields + "Transfer-Encoding : chunked\r\n\r\n" + kChunks,
           server_end::close));
  cases.push_back(Broken("length with a blank before the colon",
                         kLine + kFields + "Content-Length : 3\r\n\r\n" + kBody,
                         server_end::close));
  constexpr std::size_t kMaxFields = 500;
  for (std::size_t count : { kMaxFields / 2, kMaxFields + 1 }) {
    std::string lines;
    for (std::size_t i = 0; i < count; ++i) {
      lines += "a:\r\n";
    }
    std::string name = std::to_string(count) + " fields";
    std::string text = kLine + kFields + lines + kLength + "\r\n" + kBody;
    cases.push_back(count > kMaxFields ? Broken(name, text)
                                       : Whole(name, text));
  }
  cases.push_back(Whole("text beyond ASCII", WithLine("X-Odd: \xC3\xA9")));
  cases.push_back(Whole("blanks around a value", WithLine("X-Odd:  \t1 ")));
  return cases;
}

std::vector<answer_case>
FieldNameByteCases()
{
  std::vector<answer_case> cases;
  constexpr int kBytes = 256;
  for (int byte = 0; byte < kBytes; ++byte) {
    if (IsTokenByte(byte) || byte == ':') {
      continue;
    }
    std::string line = "X-O";
    line += static_cast<char>(byte);
    line += "dd: 1";
    cases.push_back(
      Broken("name with byte " + std::to_string(byte), WithLine(line)));
  }
  return cases;
}

std::vector<answer_case>
ChunkCases()
{
  std::vector<answer_case> cases;
  const std::string rest = "\r\nwhole\r\n0\r\n\r\n";
  for (const char* size : { "5;a=b", "5;a=\"b\"", "005" }) {
    cases.push_back(
      Whole("chunk size '" + std::string(size) + "'", WithChunks(size + rest)));
  }
  for (const char* size : { "",
                            "g",
                            "-5",
                            "0x5",
                            "5 5",
                            "5\x01",
                            "5;a=\x01",
                            "5\n",
                            "10000000000000005",
                            "FFFFFFFFFFFFFFFFF" }) {
    cases.push_back(Broken("chunk size '" + std::string(size) + "'",
                           WithChunks(size + rest)));
  }
  cases.push_back(Broken("chunk longer than its size", WithChunks("4" + rest)));
  cases.push_back(
    Whole("trailer", WithChunks("5\r\nwhole\r\n0\r\nX-T: 1\r\n\r\n")));
  for (const char* line : { "X T: 1",
                            "X-T : 1",
                            "X-T: \x01",
                            "X-T",
                            "Content-Length: 3",
                            "Transfer-Encoding: chunked" }) {
    cases.push_back(Broken(
      "trailer '" + std::string(line) + "'",
      WithChunks("5\r\nwhole\r\n0\r\n" + std::string(line) + "\r\n\r\n")));
  }
  return cases;
}

std::vector<answer_case>
NeighbourCases()
{
  const std::string answer = PlainAnswer().text;
  std::vector<answer_case> cases;
  cases.push_back(Whole("interim answer", InterimAnswers(1) + answer));
  cases.push_back(
    Whole("most interim answers", InterimAnswers(kMaxInterim) + answer));
  cases.push_back(
    Broken("more interim answers", InterimAnswers(kMaxInterim + 1) + answer));
  cases.push_back(Broken("interim answer with a blank in a name",
                         "HTTP/1.1 103 Hints\r\nX Odd: 1\r\n\r\n" + answer));
  for (server_end end : { server_end::close, server_end::reset }) {
    cases.push_back(Broken(std::string("interim answer only, ") + NameOf(end),
                           InterimAnswers(1),
                           end));
  }
  cases.push_back(Whole("bytes after the answer", answer + "more bytes"));
  cases.push_back(Whole("second answer after the answer",
                        answer + kLine + "Content-Length: 5\r\n\r\nother"));
  cases.push_back(Whole("bytes after chunks", WithChunks(kChunks + "more")));
  answer_case empty =
    Whole("bytes after an answer without a body",
          "HTTP/1.1 204 No Content\r\n" + kFields + "\r\nmore",
          server_end::keep,
          "");
  empty.status = 204;
  cases.push_back(empty);
  return cases;
}

std::vector<answer_case>
EndlessCases()
{
  const std::string fill(kEndlessBytes, 'x');
  std::vector<answer_case> cases;
  cases.push_back(Broken("endless bytes that are no answer", fill));
  cases.push_back(Broken("endless reason", "HTTP/1.1 200 " + fill));
  cases.push_back(Broken("endless name", kLine + kFields + fill));
  cases.push_back(Broken("endless value", kLine + kFields + "X: " + fill));
  std::string lines;
  while (lines.size() < kEndlessBytes) {
    lines += "X: 1\r\n";
  }
  cases.push_back(Broken("endless fields", kLine + kFields + lines));
  cases.push_back(Broken("endless fields of an interim answer",
                         "HTTP/1.1 103 Hints\r\n" + lines));
  cases.push_back(Broken("endless chunk size", WithChunks("0" + fill)));
  cases.push_back(Broken("endless digits of a chunk size",
                         WithChunks(std::string(kEndlessBytes, '0'))));
  cases.push_back(Broken("endless chunk extension", WithChunks("5;" + fill)));
  cases.push_back(Broken("endless trailers", WithChunks("0\r\n" + lines)));
  return cases;
}

std::vector<answer_case>
AnswerCases()
{
  std::vector<answer_case> cases = EndCases();
  Append(cases, HeadCases());
  Append(cases, FieldNameByteCases());
  Append(cases, ChunkCases());
  Append(cases, NeighbourCases());
  Append(cases, EndlessCases());
  return cases;
}

} // namespace eelgrasstrack::test
