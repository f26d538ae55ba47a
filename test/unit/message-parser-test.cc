#include <catch2/catch.hpp>

#include "wire/message-parser.h"

using namespace eelgrasstrack;

namespace {

class request_parser_fixture
{
public:
  message_parser parser{ message_kind::request };
};

class response_parser_fixture
{
public:
  message_parser parser{ message_kind::response };
};

} // namespace

TEST_CASE_METHOD(request_parser_fixture,
                 "message parser, unusual target, is kept byte for byte",
                 "[wire]")
{
  REQUIRE(parser.Feed("GET /a%20b//../c?y=%20&&z=%41 HTTP/1.1\r\n"
                      "Host: h\r\nx-MiXed: 1\r\n\r\n"));
  REQUIRE(parser.Done());
  CHECK(parser.Head().target == "/a%20b//../c?y=%20&&z=%41");
  CHECK(parser.Head().fields.at(1).name == "x-MiXed");
}

TEST_CASE_METHOD(request_parser_fixture,
                 "message parser, head in single bytes, is parsed",
                 "[wire]")
{
  std::string text =
    "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
  for (char byte : text) {
    REQUIRE(parser.Feed(std::string_view(&byte, 1)));
  }
  REQUIRE(parser.Done());
  CHECK(parser.TakeBody() == "abc");
}

TEST_CASE_METHOD(request_parser_fixture,
                 "message parser, chunked body, is joined without framing",
                 "[wire]")
{
  REQUIRE(
    parser.Feed("POST /x HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
                "4\r\nwiki\r\n5;e=1\r\npedia\r\n0\r\nTrailer: t\r\n\r\n"));
  REQUIRE(parser.Done());
  CHECK(parser.TakeBody() == "wikipedia");
  CHECK(FindField(parser.Head().fields, "Trailer") == nullptr);
}

TEST_CASE_METHOD(request_parser_fixture,
                 "message parser, pipelined requests, are parsed one at a time",
                 "[wire]")
{
  REQUIRE(parser.Feed("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                      "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
  CHECK(parser.Head().target == "/1");
  REQUIRE(parser.Next());
  REQUIRE(parser.Done());
  CHECK(parser.Head().target == "/2");
}

TEST_CASE_METHOD(
  request_parser_fixture,
  "message parser, content length with chunked coding, is refused",
  "[wire]")
{
  // Two framings of one message allow request smuggling.
  CHECK_FALSE(parser.Feed("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
}

TEST_CASE_METHOD(request_parser_fixture,
                 "message parser, head over the limit, is too large",
                 "[wire]")
{
  parser.SetHeadLimit(128);
  result<void> fed = parser.Feed(
    "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(400, 'x') + "\r\n\r\n");
  REQUIRE_FALSE(fed);
  CHECK(fed.error().kind == error_kind::too_large);
}

TEST_CASE_METHOD(
  response_parser_fixture,
  "message parser, answer without length, ends at the end of the stream",
  "[wire]")
{
  REQUIRE(parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc"));
  CHECK_FALSE(parser.Done());
  REQUIRE(parser.FeedEnd());
  CHECK(parser.Done());
  CHECK(parser.TakeBody() == "abc");
}

TEST_CASE_METHOD(
  response_parser_fixture,
  "message parser, truncated answer, fails at the end of the stream",
  "[wire]")
{
  REQUIRE(parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"));
  CHECK_FALSE(parser.FeedEnd());
}

TEST_CASE_METHOD(response_parser_fixture,
                 "message parser, bytes that are not HTTP, are refused",
                 "[wire]")
{
  CHECK_FALSE(parser.Feed("\x16\x03\x01 garbage\r\n\r\n"));
}

TEST_CASE("hop-by-hop fields, listed by Connection, are recognized", "[wire]")
{
  std::string listed = "close, X-Private";
  CHECK(IsHopByHop("x-private", &listed));
  CHECK(IsHopByHop("Transfer-Encoding", nullptr));
  CHECK_FALSE(IsHopByHop("X-Public", &listed));
}
