#ifndef EELGRASSTRACK_TEST_CROWD_CROWD_FIXTURE_H_
#define EELGRASSTRACK_TEST_CROWD_CROWD_FIXTURE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harness/platform-store.h"
#include "harness/process.h"
#include "wire/control-client.h"

namespace eelgrasstrack::test {

/// The client side of a connection that records what it receives.
class crowd_client final : public connection::observer
{
public:
  void OnReceived(std::string_view aBytes) override
  {
    if (!drops) {
      received += aBytes;
    }
  }
  void OnEnded(close_reason) override { ended = true; }

  std::string received;
  /// What is received is not recorded.
  bool drops = false;
  bool ended = false;
  std::shared_ptr<connection> link;
};

using crowd_client_ptr = std::shared_ptr<crowd_client>;

/// A client that sends a text and reads nothing, with a small window.
class slow_reader
{
public:
  slow_reader(const endpoint& aAddress, const std::string& aText);
  ~slow_reader();
  slow_reader(const slow_reader&) = delete;
  slow_reader& operator=(const slow_reader&) = delete;

private:
  int mDescriptor;
};

/// What a faulty peer sends: a text once, then a filling without end.
struct faulty_bytes
{
  std::string start;
  /// Empty: nothing follows the start.
  std::string filling;
};

/// What a deployment of the tests sets in the settings and the configuration.
struct crowd_options
{
  unsigned ram_megabytes = 64;
  unsigned max_descriptors = 2000;
  std::uint64_t max_body_bytes = 64U << 20U;
  /// The only node with an instance; without one, all nodes have one.
  std::optional<std::size_t> only_instance;
  /// Requests that an instance runs at a time.
  unsigned slots = 4;
  /// What instances send in answer to a request for `/upload/`, in place of an
  /// ordinary answer.
  std::optional<faulty_bytes> upload_answer;
  /// Number of listed hosts whose nodes answer control messages with the bytes.
  std::size_t faulty_hosts = 0;
  faulty_bytes host_answer;
};

/// Memory and descriptors of a process, as the kernel reports them.
struct process_usage
{
  double peak_megabytes = 0;
  std::size_t descriptors = 0;
};

/// Two nodes as processes of their own, each with an instance, and the store.
/// The stand-ins and the clients share the event loop of the test.
class crowd_fixture
{
public:
  static constexpr std::size_t kNodes = 2;

  crowd_fixture();
  ~crowd_fixture();

  /// Starts the processes and waits until each node serves.
  void Start(const crowd_options& aOptions);

  /// Opens a connection to the address for callers of a node.
  crowd_client_ptr Connect(std::size_t aNode);
  crowd_client_ptr Connect(const endpoint& aAddress);
  /// Opens `aCount` slow readers that send `aText`.
  void OpenSlowCrowd(std::size_t aNode,
                     std::size_t aCount,
                     const std::string& aText);
  /// Opens `aCount` connections to an address, which send `aText` each.
  void OpenCrowdAt(const endpoint& aAddress,
                   std::size_t aCount,
                   const std::string& aText);
  /// Serves an address with faulty bytes in answer to anything received.
  endpoint ServeFaultyBytes(const faulty_bytes& aBytes);
  /// Names another address of the store in the settings of all nodes.
  void MoveStore(const endpoint& aAddress);
  /// Number of connections to addresses with faulty bytes.
  std::size_t FaultyConnections() const { return mFaultyConnections; }
  /// Opens `aCount` connections and sends `aText` on each.
  void OpenCrowd(std::size_t aNode,
                 std::size_t aCount,
                 const std::string& aText);
  /// Sends `aText` on all connections of the crowd that are open, in parts.
  void SendInParts(const std::string& aText, std::size_t aPartBytes);
  /// Sends `aText` on all connections of the crowd that are open and accept
  /// it, i.e. have few unsent bytes. Returns whether any did.
  bool SendToOpen(const std::string& aText);
  /// Waits until the nodes have read what the crowd has sent, or a limit.
  void WaitUntilSent();

  void RunFor(duration aTime);
  /// Runs until `aIsMet` or the limit. Returns whether it is met.
  bool RunUntil(duration aLimit, const std::function<bool()>& aIsMet);

  /// Sends a request and returns the status of the response; 0 without one.
  int Ask(std::size_t aNode, const std::string& aText, duration aLimit);
  /// Whether an ordinary request to the node gets 200, if it is repeated for
  /// some seconds as callers repeat a rejected request.
  bool IsServed(std::size_t aNode);

  /// Checks that both nodes run within the memory and the descriptors of the
  /// settings and serve an ordinary request. Prints the figures.
  void CheckNodes(const std::string& aName);

  static std::string Head(const std::string& aPath, const std::string& aFields);

protected:
  struct node
  {
    std::string name;
    endpoint callers;
    endpoint hop;
    endpoint ready;
    endpoint heartbeats;
    endpoint control;
    endpoint instance;
    std::unique_ptr<harness::process> program;
  };

  /// Lists the hosts with faulty nodes in the store.
  void AddFaultyHosts();
  process_usage Usage(std::size_t aNode) const;
  void StartNode(std::size_t aNode);
  void SendHeartbeat(std::size_t aNode);
  void SendHeartbeats();
  nlohmann::json Settings(const node& aNode) const;
  nlohmann::json Configuration() const;

  loop mEvents{ 8192 };
  tcp_transport mSockets{ mEvents };
  control_client mControl{ mSockets };
  endpoint mStoreAddress;
  std::unique_ptr<platform_store> mStore;
  crowd_options mOptions;
  std::vector<node> mNodes;
  std::vector<crowd_client_ptr> mCrowd;
  std::vector<std::unique_ptr<slow_reader>> mSlowReaders;
  std::string mFolder;
  std::size_t mFaultyConnections = 0;
  std::int64_t mSequence = 0;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_CROWD_CROWD_FIXTURE_H_
