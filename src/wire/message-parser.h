#ifndef EELGRASSTRACK_WIRE_MESSAGE_PARSER_H_
#define EELGRASSTRACK_WIRE_MESSAGE_PARSER_H_

#include <memory>

#include "base/error.h"
#include "wire/message.h"

namespace eelgrasstrack {

enum class message_kind
{
  request,
  response,
};

namespace detail {
class parser_base;
}

/// Incremental parser that splits a stream of bytes into HTTP/1.1 messages,
/// based on Boost.Beast. It parses one message at a time; the bytes that follow
/// it are buffered until `Next`. A response with a folded field, with more than
/// 500 fields, or with a transfer coding other than `chunked` is invalid.
class message_parser
{
public:
  explicit message_parser(message_kind aKind);
  ~message_parser();
  message_parser(message_parser&&) noexcept;
  message_parser& operator=(message_parser&&) noexcept;

  /// Sets the maximum size of a head in bytes. A longer head fails with
  /// `too_large`. A message that has started keeps the earlier limit.
  void SetHeadLimit(std::uint32_t aBytes);

  /// Tells the parser that the message has no body, as in a response to HEAD.
  void ExpectNoBody();

  /// Parses more bytes. Fails with `invalid_argument` if they are not a valid
  /// message, and with `too_large` if the size line of a chunk or the trailer
  /// is longer than the head may be.
  result<void> Feed(std::string_view aBytes);

  /// Reports the orderly end of the stream. Fails with `invalid_argument` if
  /// the message is incomplete.
  result<void> FeedEnd();

  /// Whether the head is complete.
  bool HeadReady() const;
  message_head& Head();
  /// Whether the message is complete.
  bool Done() const;

  /// Removes and returns the bytes of the body that were parsed so far.
  std::string TakeBody();

  /// Number of bytes that `TakeBody` would return.
  std::size_t BodyBytes() const;

  /// Length of the body in bytes, if the head states it.
  std::optional<std::uint64_t> BodyLength() const;
  /// Whether the body uses the chunked transfer coding.
  bool Chunked() const;
  /// Whether the sender keeps the connection open after this message.
  bool KeepAlive() const;
  /// Whether bytes of a message have arrived.
  bool Started() const;
  /// Memory for buffered input and for the parsed part of the body, in bytes.
  std::size_t HeldBytes() const;
  /// Number of buffered bytes after the message.
  std::size_t RemainingBytes() const { return mBuffer.size(); }

  /// Starts to parse the next message, beginning with the buffered bytes.
  /// `aWithoutBody`: the message has no body, as in a response to HEAD.
  result<void> Next(bool aWithoutBody = false);

private:
  /// Parses the buffered bytes.
  result<void> Consume();
  /// Parses bytes and leaves those that wait for more, or for `Next`.
  result<void> Parse(std::string_view& aLeft);
  /// Fails if the buffered part of a line is longer than a head may be.
  result<void> CheckLine() const;
  /// Gives up the memory of a buffer that was large and is mostly empty.
  void ReleaseUnused();
  void MakeParser();

  message_kind mKind;
  std::uint32_t mHeadLimit = 65536;
  std::unique_ptr<detail::parser_base> mParser;
  std::string mBuffer;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_MESSAGE_PARSER_H_
