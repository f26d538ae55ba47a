#include <catch2/catch.hpp>

#include "distribution/config-replica.h"
#include "harness/virtual-fleet.h"
#include "peer/codec.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

document_map
Documents(const std::string& aVersion)
{
  service_declaration service;
  service.name = "a";
  service.version = aVersion;
  config_document document = DocumentOf(service);
  return { { document.key, document.text } };
}

config_command
Change(const std::string& aOperation)
{
  config_command command;
  command.operation_id = aOperation;
  command.edit = [aOperation](document_map& aDocuments) {
    aDocuments = Documents(aOperation);
    return result<void>();
  };
  return command;
}

class fleet_fixture
{
public:
  fleet_fixture()
    : fleet(virtual_fleet_options{ 12, 4, 5 })
  {
    fleet.StartAll();
    fleet.Advance(seconds(8));
  }

  std::uint64_t Apply(std::size_t aNode, const std::string& aOperation)
  {
    std::uint64_t version = 0;
    fleet.Node(aNode).Submit(Change(aOperation),
                             [&](const result<accepted_config>& aAccepted) {
                               version = aAccepted ? aAccepted->version : 0;
                             });
    fleet.Advance(milliseconds(100));
    return version;
  }

  virtual_fleet fleet;
};

} // namespace

TEST_CASE("ConfigReplica_OlderSnapshotOffered_KeepsTheNewer", "[replica]")
{
  config_replica replica;
  REQUIRE(replica.Install(*BuildSnapshot(2, Documents("v2"))));
  REQUIRE(!replica.Install(*BuildSnapshot(1, Documents("v1"))));
  REQUIRE(!replica.Install(*BuildSnapshot(2, Documents("other"))));
  REQUIRE(replica.Version() == 2);
}

TEST_CASE("ConfigDelta_WrongBaseOrHash_IsRefusedWhole", "[replica]")
{
  snapshot_ptr one = *BuildSnapshot(1, Documents("v1"));
  snapshot_ptr two = *BuildSnapshot(2, Documents("v2"));
  config_delta delta = DeltaBetween(*one, *two);
  REQUIRE((*ApplyDelta(*one, delta))->hash == two->hash);
  REQUIRE(!ApplyDelta(*two, delta));
  delta.to_hash ^= 1;
  REQUIRE(!ApplyDelta(*one, delta));
}

TEST_CASE("VersionFloor_PeersOfOneDomain_AreNotEnough", "[replica]")
{
  version_floor floor;
  floor.FromPeer("n1", "d1", 7);
  floor.FromPeer("n2", "d1", 7);
  floor.FromPeer("n3", "d1", 7);
  REQUIRE(!floor.Value());
  floor.FromPeer("n4", "d2", 9);
  REQUIRE(floor.Value() == 9);
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_ChangeAccepted_EveryNodeHasItWithinASecond",
                 "[fleet]")
{
  std::uint64_t version = Apply(3, "op-1");
  REQUIRE(version == 1);
  REQUIRE(fleet.TimeUntilEverywhere(version, seconds(5)) < seconds(1));
  REQUIRE(fleet.Disagreement().empty());
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_StoreWatched_ByAFewNodesOfEachDomain",
                 "[fleet]")
{
  std::size_t watchers = 0;
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    watchers += fleet.Node(i).WatchesStore() ? 1 : 0;
  }
  REQUIRE(watchers == 8);
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_DomainCutOff_HeldAsUnreachableThenHeals",
                 "[fleet]")
{
  fleet.SetDomainCut(1, true);
  fleet.Advance(seconds(40));
  const member_entry* cut = fleet.Node(0).Members().Find("10.0.0.1:10001");
  REQUIRE(cut != nullptr);
  REQUIRE(cut->record.state == member_state::suspect);
  std::uint64_t version = Apply(0, "op-1");
  fleet.Advance(seconds(3));
  // The cut domain still reaches the store, so it has the change as well.
  REQUIRE(fleet.Node(1).Config()->version == version);
  fleet.SetDomainCut(1, false);
  fleet.Advance(seconds(40));
  REQUIRE(fleet.Disagreement().empty());
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_NodeKilled_OthersHoldItDeadWithinSeconds",
                 "[fleet]")
{
  fleet.Kill(5);
  fleet.Advance(seconds(15));
  REQUIRE(fleet.Disagreement().empty());
  fleet.Start(5);
  fleet.Advance(seconds(10));
  REQUIRE(fleet.Disagreement().empty());
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_PausedNodeWakes_ServesNothingUntilItHeard",
                 "[fleet]")
{
  fleet.Pause(2, seconds(30));
  fleet.Advance(seconds(20));
  Apply(0, "op-1");
  REQUIRE(!fleet.Node(2).Ready());
  fleet.Advance(seconds(30));
  REQUIRE(fleet.Node(2).Ready());
  REQUIRE(fleet.Node(2).Config()->version == 1);
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_EveryNodeRestartsAtOnce_StoreStaysWithinItsRates",
                 "[fleet]")
{
  Apply(0, "op-1");
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.Kill(i);
  }
  fleet.StartAll();
  fleet.Advance(seconds(20));
  REQUIRE(fleet.Disagreement().empty());
  REQUIRE(fleet.Store().RefusedCalls() == 0);
}

TEST_CASE("PeerCodec_AnyMessage_ComesBackAsItWas", "[codec]")
{
  call_message call;
  call.id = 7;
  call.route = "status";
  call.headers = { { "x-caller", "a\"b" } };
  call.body_bytes = 3;
  result<peer_message> decoded = DecodeMessage(EncodeMessage(call));
  REQUIRE(decoded);
  REQUIRE(std::get<call_message>(*decoded).headers[0].value == "a\"b");
  body_message body{ 7, true, std::string("a\n\0b", 4) };
  decoded = DecodeMessage(EncodeMessage(body));
  REQUIRE(std::get<body_message>(*decoded).bytes == body.bytes);
  member_record record;
  record.node = "10.0.0.1:1";
  record.upstream = upstream_record{ "a", "v1", 4, true };
  decoded = DecodeMessage(EncodeMessage(member_facts_message{ { record } }));
  REQUIRE(std::get<member_facts_message>(*decoded).records[0] == record);
}

TEST_CASE("PeerCodec_CutOrStrangeFrames_AreRefused", "[codec]")
{
  std::string frame = EncodeMessage(ping_message{ 3, {} });
  for (std::size_t length = 0; length < frame.size(); ++length) {
    REQUIRE(!DecodeMessage(frame.substr(0, length)));
  }
  for (const char* strange : { "[]", "[7]", "{}", "[\"zz\"]", "[\"m\",7]" }) {
    REQUIRE(!DecodeMessage(strange));
  }
}
