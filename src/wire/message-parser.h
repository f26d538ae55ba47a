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

/// Splits a stream of bytes into HTTP/1.1 messages, over Boost.Beast's
/// incremental parser. It reads one message at a time; bytes after it wait
/// until `Next`.
class message_parser
{
public:
  explicit message_parser(message_kind aKind);
  ~message_parser();
  message_parser(message_parser&&) noexcept;
  message_parser& operator=(message_parser&&) noexcept;

  /// Greatest size of a head in bytes; longer ones fail with `too_large`.
  void SetHeadLimit(std::uint32_t aBytes);

  /// The response being read answers a HEAD request, so it has no body.
  void ExpectNoBody();

  /// Takes bytes. Fails with `invalid_argument` if they are no message.
  result<void> Feed(std::string_view aBytes);

  /// The stream ended in order. Fails with `invalid_argument` if that cuts
  /// a message short.
  result<void> FeedEnd();

  bool HeadReady() const;
  message_head& Head();
  bool Done() const;

  /// Removes and returns the part of the body that was read so far.
  std::string TakeBody();

  /// Length of the body, if the head tells it.
  std::optional<std::uint64_t> BodyLength() const;
  bool Chunked() const;
  /// Whether the sender keeps the connection open after this message.
  bool KeepAlive() const;
  /// Whether a message has begun to arrive.
  bool Started() const;
  /// Bytes that came after the message.
  std::size_t RemainingBytes() const { return mBuffer.size(); }

  /// Begins the next message with the bytes that came after the last.
  result<void> Next();

private:
  result<void> Consume();
  void MakeParser();

  message_kind mKind;
  std::uint32_t mHeadLimit = 65536;
  std::unique_ptr<detail::parser_base> mParser;
  std::string mBuffer;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_MESSAGE_PARSER_H_
