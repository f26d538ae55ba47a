#ifndef EELGRASSTRACK_PROXY_SERVER_EXCHANGE_H_
#define EELGRASSTRACK_PROXY_SERVER_EXCHANGE_H_

#include <memory>
#include <optional>

#include "wire/message.h"

namespace eelgrasstrack {

class request_handler;
class server_session;

/// One request of a session and its answer. The answer is held back until those
/// of all earlier requests on the connection were sent.
class server_exchange final
  : public std::enable_shared_from_this<server_exchange>
{
public:
  /// Properties of the request that shape the answer.
  struct request_properties
  {
    /// The method is HEAD, so the answer has no body.
    bool head_only = false;
    /// The client keeps the connection open after the answer.
    bool keep_alive = true;
  };

  server_exchange(std::shared_ptr<server_session> aSession,
                  request_properties aProperties);

  /// Sends a complete answer.
  void Answer(int aStatus,
              const header_fields& aFields,
              std::string_view aBody = {});

  /// Begins an answer whose body follows. Without a length the body is sent in
  /// chunks, so that the client detects a truncated body.
  void BeginAnswer(const message_head& aHead,
                   std::optional<std::uint64_t> aLength);
  void SendAnswerBody(std::string_view aBytes);
  void EndAnswer();
  /// Closes the connection in the middle of an answer.
  void AbortAnswer();

  /// Number of bytes of the answer that have not been sent yet. Before it is
  /// this exchange's turn, these are all its bytes.
  std::size_t Unsent() const;
  /// Above this number of unsent bytes, the source of the answer is paused; it
  /// falls while the memory for answers is being used up.
  std::size_t MaxUnsent() const;
  /// Gives the collected bytes of the answer to the connection, if it is this
  /// exchange's turn.
  void Flush();
  /// Stops or resumes reading the request's body.
  void PauseBody(bool aPaused);

private:
  friend class server_session;

  std::shared_ptr<server_session> mSession;
  request_properties mProperties;
  /// Null before the handler was created and after the answer ended.
  std::shared_ptr<request_handler> mHandler;
  /// Bytes of the answer that were not given to the connection yet.
  std::string mOutgoing;
  bool mChunked = false;
  bool mBegun = false;
  bool mDone = false;
  bool mCloseAfter = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PROXY_SERVER_EXCHANGE_H_
