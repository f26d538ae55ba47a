#include "wire/message-parser.h"

#include <boost/beast/http/basic_parser.hpp>
#include <functional>
#include <limits>

namespace eelgrasstrack {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// A buffer that is mostly empty is kept for later bytes up to this size.
constexpr std::size_t kMaxUnusedBytes = 4096;
/// Fields that an answer's head may have. Each takes up to sixteen times its
/// bytes, as the shortest line has four.
constexpr std::size_t kMaxAnswerFields = 500;
/// The only transfer coding that answers may have.
constexpr std::string_view kChunkedCoding = "chunked";

/// Memory of a buffer. What every idle connection keeps is not counted.
std::size_t
MemoryOf(const std::string& aBuffer)
{
  return aBuffer.capacity() > kMaxUnusedBytes ? aBuffer.capacity()
                                              : aBuffer.size();
}

} // namespace

namespace detail {

/// Common interface of the parsers for requests and responses.
class parser_base
{
public:
  virtual ~parser_base() = default;
  virtual std::size_t Put(std::string_view aBytes,
                          beast::error_code& aError) = 0;
  virtual void PutEnd(beast::error_code& aError) = 0;
  virtual bool HeadRead() const = 0;
  virtual bool MessageRead() const = 0;
  virtual bool MessageStarted() const = 0;
  virtual bool KeepsAlive() const = 0;
  virtual bool IsChunked() const = 0;
  virtual void SkipBody() = 0;

  message_head head;
  std::string body;
  std::optional<std::uint64_t> body_length;

protected:
  bool mHeadRead = false;
};

template<bool kIsRequest>
class beast_parser final
  : public parser_base
  , private http::basic_parser<kIsRequest>
{
  using parser = http::basic_parser<kIsRequest>;

public:
  explicit beast_parser(std::uint32_t aHeadLimit)
  {
    parser::header_limit(aHeadLimit);
    parser::body_limit(std::numeric_limits<std::uint64_t>::max());
    parser::eager(true);
  }

  std::size_t Put(std::string_view aBytes, beast::error_code& aError) override
  {
    mInput = aBytes;
    return parser::put(boost::asio::const_buffer(aBytes.data(), aBytes.size()),
                       aError);
  }
  void PutEnd(beast::error_code& aError) override { parser::put_eof(aError); }
  bool HeadRead() const override { return mHeadRead; }
  bool MessageRead() const override { return parser::is_done(); }
  bool MessageStarted() const override { return parser::got_some(); }
  bool KeepsAlive() const override { return parser::keep_alive(); }
  bool IsChunked() const override { return parser::chunked(); }
  void SkipBody() override { parser::skip(true); }

private:
  void on_request_impl(http::verb,
                       beast::string_view aMethod,
                       beast::string_view aTarget,
                       int,
                       beast::error_code&) override
  {
    head.method.assign(aMethod.data(), aMethod.size());
    head.target.assign(aTarget.data(), aTarget.size());
  }

  void on_response_impl(int aStatus,
                        beast::string_view aReason,
                        int,
                        beast::error_code&) override
  {
    head.status = aStatus;
    head.reason.assign(aReason.data(), aReason.size());
  }

  void on_field_impl(http::field,
                     beast::string_view aName,
                     beast::string_view aValue,
                     beast::error_code& aError) override
  {
    if constexpr (!kIsRequest) {
      aError = CheckAnswerField(aName, aValue);
    }
    if (!mHeadRead && !aError) { // trailer fields are dropped
      head.fields.push_back({ std::string(aName), std::string(aValue) });
    }
  }

  /// Beast accepts some fields that would reach a client in another form than
  /// the server sent them.
  beast::error_code CheckAnswerField(beast::string_view aName,
                                     beast::string_view aValue) const
  {
    if (head.fields.size() >= kMaxAnswerFields) {
      return http::error::header_limit;
    }
    if (IsFolded(aName, aValue)) {
      return http::error::bad_value;
    }
    std::string_view name(aName.data(), aName.size());
    std::string_view value(aValue.data(), aValue.size());
    if (EqualsIgnoreCase(name, "Transfer-Encoding") &&
        !EqualsIgnoreCase(value, kChunkedCoding)) {
      return http::error::bad_transfer_encoding;
    }
    return {};
  }

  /// Whether the value goes on in a line that begins with a blank (RFC 9112,
  /// section 5.2). Such a line may as well be a field with an invalid name.
  bool IsFolded(beast::string_view aName, beast::string_view aValue) const
  {
    const char* nameEnd = aName.data() + aName.size();
    std::less<> isBefore;
    if (isBefore(aValue.data(), nameEnd) ||
        isBefore(mInput.data() + mInput.size(), aValue.data())) {
      return true; // Beast joins the lines in a buffer of its own
    }
    std::string_view between(nameEnd,
                             static_cast<std::size_t>(aValue.data() - nameEnd));
    return between.find('\r') != std::string_view::npos;
  }

  void on_header_impl(beast::error_code&) override { mHeadRead = true; }

  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         beast::error_code&) override
  {
    if (aLength) {
      body_length = *aLength;
    }
  }

  std::size_t on_body_impl(beast::string_view aBytes,
                           beast::error_code&) override
  {
    body.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t,
                            beast::string_view,
                            beast::error_code&) override
  {
  }

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 beast::string_view aBytes,
                                 beast::error_code&) override
  {
    body.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_finish_impl(beast::error_code&) override {}

  /// The bytes being parsed.
  std::string_view mInput;
};

} // namespace detail

message_parser::message_parser(message_kind aKind)
  : mKind(aKind)
{
  MakeParser();
}

message_parser::~message_parser() = default;
message_parser::message_parser(message_parser&&) noexcept = default;
message_parser&
message_parser::operator=(message_parser&&) noexcept = default;

void
message_parser::MakeParser()
{
  if (mKind == message_kind::request) {
    mParser = std::make_unique<detail::beast_parser<true>>(mHeadLimit);
  } else {
    mParser = std::make_unique<detail::beast_parser<false>>(mHeadLimit);
  }
}

void
message_parser::SetHeadLimit(std::uint32_t aBytes)
{
  mHeadLimit = aBytes;
  if (!Started()) {
    MakeParser();
  }
}

void
message_parser::ExpectNoBody()
{
  mParser->SkipBody();
}

result<void>
message_parser::Feed(std::string_view aBytes)
{
  if (!mBuffer.empty()) {
    mBuffer.append(aBytes);
    return Consume();
  }
  // Parsed in place: only what waits for further bytes is kept.
  std::string_view left = aBytes;
  result<void> parsed = Parse(left);
  mBuffer.assign(left);
  return parsed.and_then([this] { return CheckLine(); });
}

result<void>
message_parser::Consume()
{
  std::string_view left = mBuffer;
  result<void> parsed = Parse(left);
  mBuffer.erase(0, mBuffer.size() - left.size());
  ReleaseUnused();
  return parsed.and_then([this] { return CheckLine(); });
}

result<void>
message_parser::Parse(std::string_view& aLeft)
{
  while (!aLeft.empty() && !mParser->MessageRead()) {
    beast::error_code problem;
    std::size_t used = mParser->Put(aLeft, problem);
    aLeft.remove_prefix(used);
    if (problem == http::error::need_more) {
      if (used == 0) {
        break;
      }
      continue;
    }
    if (problem) {
      return Fail(problem == http::error::header_limit
                    ? error_kind::too_large
                    : error_kind::invalid_argument,
                  problem.message());
    }
  }
  return {};
}

result<void>
message_parser::CheckLine() const
{
  if (!mParser->MessageRead() && mBuffer.size() > mHeadLimit) {
    // The parser waits for the end of a line that does not come.
    return Fail(error_kind::too_large, "line without end");
  }
  return {};
}

void
message_parser::ReleaseUnused()
{
  if (mBuffer.capacity() > kMaxUnusedBytes &&
      mBuffer.size() < mBuffer.capacity() / 4) {
    std::string(mBuffer).swap(mBuffer);
  }
}

result<void>
message_parser::FeedEnd()
{
  beast::error_code problem;
  mParser->PutEnd(problem);
  if (problem) {
    return Fail(error_kind::invalid_argument, problem.message());
  }
  return {};
}

bool
message_parser::HeadReady() const
{
  return mParser->HeadRead();
}

message_head&
message_parser::Head()
{
  return mParser->head;
}

bool
message_parser::Done() const
{
  return mParser->MessageRead();
}

std::string
message_parser::TakeBody()
{
  std::string taken;
  taken.swap(mParser->body);
  return taken;
}

std::size_t
message_parser::HeldBytes() const
{
  return MemoryOf(mBuffer) + MemoryOf(mParser->body);
}

std::size_t
message_parser::BodyBytes() const
{
  return mParser->body.size();
}

std::optional<std::uint64_t>
message_parser::BodyLength() const
{
  return mParser->body_length;
}

bool
message_parser::Chunked() const
{
  return mParser->IsChunked();
}

bool
message_parser::KeepAlive() const
{
  return mParser->KeepsAlive();
}

bool
message_parser::Started() const
{
  return mParser->MessageStarted() || !mBuffer.empty();
}

result<void>
message_parser::Next(bool aWithoutBody)
{
  MakeParser();
  if (aWithoutBody) {
    // The parser reads the buffered bytes at once, also the end of the head.
    ExpectNoBody();
  }
  return Consume();
}

} // namespace eelgrasstrack
