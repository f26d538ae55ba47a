#ifndef EELGRASSTRACK_REVIEW_REQUESTER_H_
#define EELGRASSTRACK_REVIEW_REQUESTER_H_

#include "net.h"

namespace review {

/// A request of a requester.
struct ask
{
  std::string method = "GET";
  std::string path;
  /// Empty: neither an id nor a timeout is sent.
  std::string id;
  std::string body;
  milliseconds timeout{ 2000 };
  /// Path of a request that is sent and answered first on the same connection;
  /// empty: none.
  std::string first_path;
  std::string first_body;
  /// Bytes per second at which the answer is read; 0: as fast as it comes.
  double read_rate = 0;
};

/// How a request ended.
struct outcome
{
  message answer;
  /// How the connection ended, if it did: "closed", "reset" or "timeout".
  std::string end;
  /// The connection had answered an earlier request.
  bool kept = false;
  clock::time_point sent;
  clock::time_point ended;

  /// Seconds from the start to the end.
  double Seconds() const
  {
    return std::chrono::duration<double>(ended - sent).count();
  }
  /// A short text for the record.
  std::string Text() const;
};

/// A new request id.
std::string
NewId();

/// Sends a request on a new connection and waits for its answer.
outcome
Ask(const address& aAddress, const ask& aAsk);

} // namespace review

#endif // EELGRASSTRACK_REVIEW_REQUESTER_H_
