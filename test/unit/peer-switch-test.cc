#include <catch2/catch.hpp>

#include "daemon/peer-switch.h"
#include "harness/fault-proxy.h"
#include "harness/free-address.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One end of a link: sends its hello on each new link and records the probes
/// that it receives.
class switch_end final : public peer_switch_observer
{
public:
  switch_end(loop& aLoop, node_id aSelf, const endpoint& aListen)
    : self(aSelf)
    , links(aLoop,
            *this,
            aSelf,
            peer_transport_options{ aListen, "secret", 65536 })
  {
  }

  void OnPeerUp(const node_id& aNode) override
  {
    hello_message hello;
    hello.self.node = self;
    links.Send(aNode, hello);
  }
  void OnPeerDown(const node_id&, bool) override {}
  void OnPeerMessage(const node_id&,
                     const link_ptr&,
                     peer_message aMessage) override
  {
    if (const auto* ping = std::get_if<ping_message>(&aMessage)) {
      received_pings.push_back(ping->sequence);
    }
  }
  void OnLinkLost(const link_ptr&, bool) override {}

  node_id self;
  peer_switch links;
  std::vector<std::uint64_t> received_pings;
};

/// Two nodes in one process. The second one is reached through a proxy, by
/// whose address the first one knows it.
class peer_switch_fixture
{
public:
  void RunFor(duration aTime)
  {
    events.RunAfter(aTime, [this] { events.Stop(); });
    events.Run();
  }

  void Ping(switch_end& aFrom, const switch_end& aTo, std::uint64_t aSequence)
  {
    aFrom.links.Send(aTo.self, ping_message{ aSequence, {} });
    RunFor(kDeliveryTime);
  }

  static constexpr duration kDeliveryTime = milliseconds(500);

  loop events{ 256 };
  endpoint first_address = FreeAddress();
  endpoint second_address = FreeAddress();
  endpoint proxy_address = FreeAddress();
  harness::fault_proxy proxy{ proxy_address, second_address };
  switch_end first{ events, ToString(first_address), first_address };
  switch_end second{ events, ToString(proxy_address), second_address };
};

} // namespace

// Guards against messages on a link that has fallen silent, although the nodes
// have opened another.
TEST_CASE_METHOD(peer_switch_fixture,
                 "peer switch, link falls silent and another is opened, both "
                 "nodes use the new one",
                 "[peer-switch][stale-config]")
{
  first.links.Connect(second.self);
  RunFor(kDeliveryTime);
  Ping(first, second, 1);
  Ping(second, first, 2);
  REQUIRE(second.received_pings == std::vector<std::uint64_t>{ 1 });
  REQUIRE(first.received_pings == std::vector<std::uint64_t>{ 2 });

  proxy.SilenceOpenConnections();
  RunFor(kDeliveryTime);
  Ping(first, second, 3);
  Ping(second, first, 4);
  REQUIRE(second.received_pings.size() == 1);
  REQUIRE(first.received_pings.size() == 1);

  first.links.Reconnect(second.self);
  RunFor(kDeliveryTime);
  Ping(first, second, 5);
  Ping(second, first, 6);
  CHECK(second.received_pings == std::vector<std::uint64_t>{ 1, 5 });
  CHECK(first.received_pings == std::vector<std::uint64_t>{ 2, 6 });
}
