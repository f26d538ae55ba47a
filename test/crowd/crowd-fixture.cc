#include "crowd/crowd-fixture.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "harness/free-address.h"
#include "mesh/host-record.h"

namespace eelgrasstrack::test {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStartTime = seconds(20);
constexpr duration kHeartbeatInterval = milliseconds(500);
/// How long an ordinary caller repeats a request. Below the idle timeout of 15
/// s and the route timeout of uploads, so that these alone do not end a crowd.
constexpr duration kCallerPatience = seconds(8);
constexpr duration kAttemptLimit = seconds(3);
/// A client whose unsent bytes exceed this number sends no more for now.
constexpr std::size_t kMaxUnsentBytes = 256U << 10U;
constexpr int kOk = 200;

/// Sends a filling without end, no faster than the peer takes it.
class endless_sender : public connection::observer
{
public:
  explicit endless_sender(std::shared_ptr<connection> aConnection)
    : mConnection(std::move(aConnection))
  {
  }

  void SendFaulty(const faulty_bytes& aBytes, const std::string& aStart)
  {
    mFilling = aBytes.filling;
    mConnection->Send(aStart);
    if (mConnection->Unsent() == 0) {
      OnSent();
    }
  }

  void OnSent() override
  {
    // More than the kernel takes; bounded, as a failed write queues nothing.
    constexpr int kParts = 256;
    for (int i = 0; i < kParts && !mFilling.empty() && !mConnection->Closed() &&
                    mConnection->Unsent() == 0;
         ++i) {
      mConnection->Send(mFilling);
    }
  }
  void OnEnded(close_reason) override {}

protected:
  std::shared_ptr<connection> mConnection;
  std::string mFilling;
};

/// Sends faulty bytes in answer to the first bytes received.
class faulty_server final : public endless_sender
{
public:
  faulty_server(std::shared_ptr<connection> aConnection, faulty_bytes aBytes)
    : endless_sender(std::move(aConnection))
    , mBytes(std::move(aBytes))
  {
  }

  void OnReceived(std::string_view) override
  {
    if (!std::exchange(mAnswered, true)) {
      SendFaulty(mBytes, mBytes.start);
    }
  }

private:
  faulty_bytes mBytes;
  bool mAnswered = false;
};

/// The instance's side of a connection: reads each request whole and responds
/// with the number of bytes of its body, or with faulty bytes.
class instance_session final : public endless_sender
{
public:
  instance_session(std::shared_ptr<connection> aConnection,
                   const std::optional<faulty_bytes>& aUploadAnswer)
    : endless_sender(std::move(aConnection))
    , mUploadAnswer(aUploadAnswer)
  {
  }

  void OnReceived(std::string_view aBytes) override
  {
    if (!mParser.Feed(aBytes)) {
      mConnection->Close();
      return;
    }
    mBodyBytes += mParser.TakeBody().size();
    while (mParser.Done()) {
      Respond();
      if (!mParser.Next()) {
        mConnection->Close();
        return;
      }
      mBodyBytes = mParser.TakeBody().size();
    }
  }

private:
  void Respond()
  {
    const std::string* id =
      FindField(mParser.Head().fields, "X-Eelgrasstrack-Request-Id");
    std::string start = "HTTP/1.1 200 OK\r\nX-Eelgrasstrack-Server-Stamp: "
                        "stamp\r\nX-Eelgrasstrack-Request-Id: " +
                        (id != nullptr ? *id : "") + "\r\n";
    if (mUploadAnswer && mParser.Head().target.rfind("/upload/", 0) == 0) {
      SendFaulty(*mUploadAnswer, start + mUploadAnswer->start);
      return;
    }
    std::string body = "bytes=" + std::to_string(mBodyBytes) + ";";
    mConnection->Send(start + "Content-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
  }

  std::optional<faulty_bytes> mUploadAnswer;
  message_parser mParser{ message_kind::request };
  std::uint64_t mBodyBytes = 0;
};

int
StatusOf(const std::string& aResponse)
{
  constexpr std::size_t kStatusAt = 9;
  return aResponse.size() > kStatusAt ? std::atoi(aResponse.c_str() + kStatusAt)
                                      : 0;
}

/// Window of a slow reader. With small segments it keeps the kernel from taking
/// megabytes off the sender.
constexpr int kSlowWindowBytes = 4096;
constexpr int kSlowSegmentBytes = 536;

} // namespace

slow_reader::slow_reader(const endpoint& aAddress, const std::string& aText)
  : mDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.address.c_str(), &address.sin_addr);
  setsockopt(mDescriptor,
             SOL_SOCKET,
             SO_RCVBUF,
             &kSlowWindowBytes,
             sizeof kSlowWindowBytes);
  setsockopt(mDescriptor,
             IPPROTO_TCP,
             TCP_MAXSEG,
             &kSlowSegmentBytes,
             sizeof kSlowSegmentBytes);
  // The kernel of a loopback address accepts the connection at once.
  REQUIRE(connect(mDescriptor,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0);
  REQUIRE(send(mDescriptor, aText.data(), aText.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(aText.size()));
}

slow_reader::~slow_reader()
{
  close(mDescriptor);
}

crowd_fixture::crowd_fixture()
  : mStoreAddress(FreeAddress())
{
  std::string name =
    (std::filesystem::temp_directory_path() / "eelgrasstrack-crowd-XXXXXX")
      .string();
  REQUIRE(mkdtemp(name.data()) != nullptr);
  mFolder = name;
}

crowd_fixture::~crowd_fixture()
{
  for (node& each : mNodes) {
    each.program.reset();
  }
  std::filesystem::remove_all(mFolder);
}

void
crowd_fixture::Start(const crowd_options& aOptions)
{
  mOptions = aOptions;
  mStore = std::make_unique<platform_store>(mEvents, mSockets, mStoreAddress);
  mStore->Put("config", "main", Configuration());
  AddFaultyHosts();
  for (std::size_t i = 0; i < kNodes; ++i) {
    StartNode(i);
  }
  SendHeartbeats();
  for (std::size_t i = 0; i < kNodes; ++i) {
    INFO("node " << i);
    REQUIRE(RunUntil(kStartTime, [&] {
      return Ask(i, Head("/small/", ""), milliseconds(500)) == kOk;
    }));
  }
}

void
crowd_fixture::StartNode(std::size_t aNode)
{
  node added;
  added.name = "node-" + std::to_string(aNode);
  for (endpoint* each : { &added.callers,
                          &added.hop,
                          &added.ready,
                          &added.heartbeats,
                          &added.control,
                          &added.instance }) {
    *each = FreeAddress();
  }
  REQUIRE(mSockets.Listen(
    added.instance, [this](std::shared_ptr<connection> aConnection) {
      aConnection->SetObserver(std::make_shared<instance_session>(
        aConnection, mOptions.upload_answer));
    }));
  std::string path = mFolder + "/" + added.name + ".json";
  std::ofstream(path) << Settings(added).dump();
  REQUIRE(setenv("EELGRASSTRACK_CONFIG", path.c_str(), 1) == 0);
  added.program = std::make_unique<harness::process>(
    std::string(EELGRASSTRACK_PROGRAMS) + "/eelgrasstrack-mesh",
    std::vector<std::string>{},
    mFolder + "/" + added.name + ".log");
  mNodes.push_back(std::move(added));
}

json
crowd_fixture::Settings(const node& aNode) const
{
  return { { "node", aNode.name },
           { "ip", aNode.control.address },
           { "zone", "domain-" + aNode.name },
           { "svc", "echo" },
           { "listen",
             { { "inbound", ToString(aNode.hop) },
               { "outbound", ToString(aNode.callers) },
               { "ready", ToString(aNode.ready) },
               { "control", ToString(aNode.heartbeats) } } },
           { "port_range", { aNode.control.port, aNode.control.port } },
           { "bootstrap", true },
           { "beat_interval_s", 1.5 },
           { "limits",
             { { "ram_mb", mOptions.ram_megabytes },
               { "max_fds", mOptions.max_descriptors } } },
           { "bounds", { { "retry_allowance", 50 } } },
           { "platform", { { "addr", ToString(mStoreAddress) } } } };
}

json
crowd_fixture::Configuration() const
{
  auto rule = [](const char* aName, const char* aKind, double aTimeout) {
    return json{
      { "name", aName },
      { "kind", aKind },
      { "goal_s", aTimeout },
      { "prio", 1 },
      { "match", { { "prefix", std::string("/") + aName + "/" } } },
      { "action",
        { { "svc", "echo" }, { "timeout_s", aTimeout }, { "attempts", 2 } } }
    };
  };
  json rules = json::array();
  rules.push_back(rule("small", "idempotent", 2));
  rules.push_back(rule("upload", "non_idempotent", 60));
  return { { "version", "r1" },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", mOptions.max_body_bytes },
               { "header_timeout_s", 3 },
               { "idle_timeout_s", 15 } } },
           { "listeners",
             json::array(
               { { { "host", "crowd.example" }, { "rules", rules } } }) },
           { "clusters", json::array({ { { "name", "echo" } } }) } };
}

void
crowd_fixture::SendHeartbeats()
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (mOptions.only_instance.value_or(i) == i) {
      SendHeartbeat(i);
    }
  }
  mEvents.RunAfter(kHeartbeatInterval, [this] { SendHeartbeats(); });
}

void
crowd_fixture::SendHeartbeat(std::size_t aNode)
{
  const node& each = mNodes[aNode];
  buffered_request beat;
  beat.method = "PUT";
  beat.target = "/instances/i-" + std::to_string(aNode);
  beat.body = json{
    { "svc", "echo" },
    { "addr", ToString(each.instance) },
    { "zone", "domain-" + each.name },
    { "version", "v1" },
    { "slots", mOptions.slots },
    { "state", "ready" },
    { "cold_left_s", 0 },
    { "seq", ++mSequence },
    { "born", 1 }
  }.dump();
  mControl.Call(each.heartbeats,
                std::move(beat),
                kHeartbeatInterval,
                [](const result<buffered_response>&) {});
}

std::string
crowd_fixture::Head(const std::string& aPath, const std::string& aFields)
{
  static unsigned sLastId = 0;
  std::string method = aFields.empty() ? "GET " : "POST ";
  return method + aPath +
         " HTTP/1.1\r\nHost: crowd.example\r\nX-Eelgrasstrack-Request-Id: q" +
         std::to_string(++sLastId) + "\r\n" + aFields + "\r\n";
}

void
crowd_fixture::OpenSlowCrowd(std::size_t aNode,
                             std::size_t aCount,
                             const std::string& aText)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    mSlowReaders.push_back(
      std::make_unique<slow_reader>(mNodes[aNode].callers, aText));
    RunFor(milliseconds(2));
  }
}

void
crowd_fixture::OpenCrowdAt(const endpoint& aAddress,
                           std::size_t aCount,
                           const std::string& aText)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    mCrowd.push_back(Connect(aAddress));
    mCrowd.back()->link->Send(aText);
    RunFor(milliseconds(5));
  }
}

endpoint
crowd_fixture::ServeFaultyBytes(const faulty_bytes& aBytes)
{
  endpoint address = FreeAddress();
  REQUIRE(mSockets.Listen(
    address, [this, aBytes](std::shared_ptr<connection> aConnection) {
      ++mFaultyConnections;
      aConnection->SetObserver(
        std::make_shared<faulty_server>(aConnection, aBytes));
    }));
  return address;
}

void
crowd_fixture::MoveStore(const endpoint& aAddress)
{
  for (const node& each : mNodes) {
    json settings = Settings(each);
    settings["platform"]["addr"] = ToString(aAddress);
    std::string path = mFolder + "/" + each.name + ".json";
    std::ofstream(path + ".new") << settings.dump();
    std::filesystem::rename(path + ".new", path);
  }
}

void
crowd_fixture::AddFaultyHosts()
{
  for (std::size_t i = 0; i < mOptions.faulty_hosts; ++i) {
    host_record host;
    host.name = "faulty-" + std::to_string(i);
    host.domain = "domain-faulty";
    host.hop = ServeFaultyBytes(mOptions.host_answer);
    host.control = host.hop;
    host.incarnation = 1;
    host.sequence = 1;
    mStore->Put("eelgrasstrack-hosts", host.name, EncodeHostRecord(host));
  }
}

crowd_client_ptr
crowd_fixture::Connect(std::size_t aNode)
{
  return Connect(mNodes[aNode].callers);
}

crowd_client_ptr
crowd_fixture::Connect(const endpoint& aAddress)
{
  auto client = std::make_shared<crowd_client>();
  client->link = mSockets.Connect(aAddress, {});
  REQUIRE(client->link);
  client->link->SetObserver(client);
  return client;
}

void
crowd_fixture::OpenCrowd(std::size_t aNode,
                         std::size_t aCount,
                         const std::string& aText)
{
  // Few at a time, as the queue of a listening socket is short.
  constexpr std::size_t kAtATime = 20;
  for (std::size_t i = 0; i < aCount; ++i) {
    mCrowd.push_back(Connect(aNode));
    mCrowd.back()->link->Send(aText);
    if (i % kAtATime == kAtATime - 1) {
      RunFor(milliseconds(5));
    }
  }
}

void
crowd_fixture::SendInParts(const std::string& aText, std::size_t aPartBytes)
{
  for (std::size_t at = 0; at < aText.size(); at += aPartBytes) {
    SendToOpen(aText.substr(at, aPartBytes));
    RunFor(milliseconds(20));
  }
}

bool
crowd_fixture::SendToOpen(const std::string& aText)
{
  bool sent = false;
  for (const crowd_client_ptr& client : mCrowd) {
    if (!client->ended && client->link->Unsent() < kMaxUnsentBytes) {
      client->link->Send(aText);
      sent = true;
    }
  }
  return sent;
}

void
crowd_fixture::WaitUntilSent()
{
  RunUntil(seconds(5), [&] {
    bool unsent = false;
    for (const crowd_client_ptr& client : mCrowd) {
      unsent = unsent || (!client->ended && client->link->Unsent() > 0);
    }
    return !unsent;
  });
  RunFor(milliseconds(300));
}

void
crowd_fixture::RunFor(duration aTime)
{
  mEvents.RunAfter(aTime, [this] { mEvents.Stop(); });
  mEvents.Run();
}

bool
crowd_fixture::RunUntil(duration aLimit, const std::function<bool()>& aIsMet)
{
  time_point end = mEvents.Now() + aLimit;
  while (!aIsMet()) {
    if (mEvents.Now() > end) {
      return false;
    }
    RunFor(milliseconds(10));
  }
  return true;
}

int
crowd_fixture::Ask(std::size_t aNode, const std::string& aText, duration aLimit)
{
  crowd_client_ptr client = Connect(aNode);
  client->link->Send(aText);
  RunUntil(aLimit, [&] {
    return client->ended ||
           client->received.find("\r\n\r\n") != std::string::npos;
  });
  client->link->Close();
  return StatusOf(client->received);
}

bool
crowd_fixture::IsServed(std::size_t aNode)
{
  const std::string body(1000, 'x');
  return RunUntil(kCallerPatience, [&] {
    return Ask(aNode,
               Head("/small/", "Content-Length: 1000\r\n") + body,
               kAttemptLimit) == kOk;
  });
}

process_usage
crowd_fixture::Usage(std::size_t aNode) const
{
  std::string folder =
    "/proc/" + std::to_string(mNodes[aNode].program->Id()) + "/";
  process_usage usage;
  std::ifstream status(folder + "status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) {
      constexpr double kKilobytes = 1024;
      usage.peak_megabytes = std::atof(line.c_str() + 6) / kKilobytes;
    }
  }
  std::error_code failed;
  for (std::filesystem::directory_iterator each(folder + "fd", failed), end;
       each != end;
       ++each) {
    ++usage.descriptors;
  }
  return usage;
}

void
crowd_fixture::CheckNodes(const std::string& aName)
{
  // The descriptors are counted before requests that may wait for the crowd.
  std::vector<process_usage> before;
  for (std::size_t i = 0; i < kNodes; ++i) {
    before.push_back(Usage(i));
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    bool served = IsServed(i);
    process_usage usage = Usage(i);
    std::size_t descriptors =
      std::max(before[i].descriptors, usage.descriptors);
    std::printf("%s: node %zu peak %.1f MB, %zu descriptors, %s\n",
                aName.c_str(),
                i,
                usage.peak_megabytes,
                descriptors,
                served ? "served" : "NOT served");
    INFO(aName << ": node " << i);
    CHECK(mNodes[i].program->Running());
    CHECK(usage.peak_megabytes < mOptions.ram_megabytes);
    CHECK(descriptors < mOptions.max_descriptors);
    CHECK(served);
  }
  std::fflush(stdout);
}

} // namespace eelgrasstrack::test
