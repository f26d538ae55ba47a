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
DocumentsWithVersion(const std::string& aVersion)
{
  service_declaration service;
  service.name = "a";
  service.version = aVersion;
  config_document document = DocumentOf(service);
  return { { document.key, document.text } };
}

config_command
ChangeCommand(const std::string& aOperation)
{
  config_command command;
  command.operation_id = aOperation;
  command.edit = [aOperation](document_map& aDocuments) {
    aDocuments = DocumentsWithVersion(aOperation);
    return result<void>();
  };
  return command;
}

/// A fleet of 12 nodes in 4 failure domains that has run for 8 s.
class fleet_fixture
{
public:
  fleet_fixture()
    : fleet(virtual_fleet_options{ 12, 4, 5 })
  {
    fleet.StartAll();
    fleet.Advance(seconds(8));
  }

  /// Submits a change and returns its version, or 0 if it was not accepted
  /// within 100 ms.
  std::uint64_t Apply(std::size_t aNode, const std::string& aOperation)
  {
    std::uint64_t version = 0;
    fleet.Node(aNode).Submit(ChangeCommand(aOperation),
                             [&](const result<accepted_config>& aAccepted) {
                               version = aAccepted ? aAccepted->version : 0;
                             });
    fleet.Advance(milliseconds(100));
    return version;
  }

  /// Lets a minute pass and checks that calls to the store are backed off.
  void CheckCallsOfAMinute()
  {
    constexpr double kNodeCallsPerSecond = 4;
    constexpr double kSeconds = 60;
    std::uint64_t before = fleet.Store().Calls();
    fleet.Advance(seconds(static_cast<int>(kSeconds)));
    double calls = static_cast<double>(fleet.Store().Calls() - before);
    CHECK(calls / kSeconds < kNodeCallsPerSecond * fleet.Size());
  }

  /// Writes a change to the store, as if the accepting node had died before it
  /// sent the change on. Returns its version.
  std::uint64_t WriteToStore(const std::string& aOperation)
  {
    std::uint64_t stored = 0;
    config_state state;
    fleet.Store().Get(kConfigKey, [&](const result<stored_object>& aObject) {
      REQUIRE(aObject);
      stored = aObject->version;
      state = stored == 0 ? config_state{} : *DecodeConfigState(aObject->value);
    });
    fleet.Advance(milliseconds(100));
    ++state.version;
    state.documents = DocumentsWithVersion(aOperation);
    fleet.Store().Put(
      kConfigKey,
      EncodeConfigState(state),
      stored,
      [](const result<std::uint64_t>& aWritten) { REQUIRE(aWritten); });
    return state.version;
  }

  virtual_fleet fleet;
};

/// Within this time an accepted change is in force everywhere.
constexpr duration kInForceWithin = seconds(15);

} // namespace

TEST_CASE("ConfigReplica_OlderOrEqualVersionInstalled_KeepsTheCurrentSnapshot",
          "[replica]")
{
  config_replica replica;
  REQUIRE(replica.Install(*BuildSnapshot(2, DocumentsWithVersion("v2"))));
  REQUIRE(!replica.Install(*BuildSnapshot(1, DocumentsWithVersion("v1"))));
  REQUIRE(!replica.Install(*BuildSnapshot(2, DocumentsWithVersion("other"))));
  REQUIRE(replica.Version() == 2);
}

TEST_CASE("ConfigDelta_WrongBaseOrHash_IsRefused", "[replica]")
{
  snapshot_ptr one = *BuildSnapshot(1, DocumentsWithVersion("v1"));
  snapshot_ptr two = *BuildSnapshot(2, DocumentsWithVersion("v2"));
  config_delta delta = DeltaBetween(*one, *two);
  REQUIRE((*ApplyDelta(*one, delta))->hash == two->hash);
  REQUIRE(!ApplyDelta(*two, delta));
  delta.to_hash ^= 1;
  REQUIRE(!ApplyDelta(*one, delta));
}

TEST_CASE("VersionFloor_PeersOfOneDomain_FloorIsNotSet", "[replica]")
{
  version_floor floor;
  floor.AddPeerVersion("n1", "d1", 7);
  floor.AddPeerVersion("n2", "d1", 7);
  floor.AddPeerVersion("n3", "d1", 7);
  REQUIRE(!floor.Value());
  floor.AddPeerVersion("n4", "d2", 9);
  REQUIRE(floor.Value() == 9);
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_ChangeAccepted_EveryNodeHasItWithinASecond",
                 "[fleet]")
{
  std::uint64_t version = Apply(3, "op-1");
  REQUIRE(version == 1);
  REQUIRE(fleet.MeasureConvergenceTime(version, seconds(5)) < seconds(1));
  REQUIRE(fleet.FindDisagreement().empty());
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_AllNodesRunning_TwoPerDomainWatchTheStore",
                 "[fleet]")
{
  std::size_t watchers = 0;
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    watchers += fleet.Node(i).WatchesStore() ? 1 : 0;
  }
  REQUIRE(watchers == 8);
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_DomainPartitioned_StaysSuspectThenRecovers",
                 "[fleet]")
{
  fleet.SetDomainPartitioned(1, true);
  fleet.Advance(seconds(40));
  const member_entry* cut = fleet.Node(0).Members().Find("10.0.0.1:10001");
  REQUIRE(cut != nullptr);
  REQUIRE(cut->record.state == member_state::suspect);
  std::uint64_t version = Apply(0, "op-1");
  fleet.Advance(seconds(3));
  // The partitioned domain still reaches the store and gets the change there.
  REQUIRE(fleet.Node(1).Config()->version == version);
  fleet.SetDomainPartitioned(1, false);
  fleet.Advance(seconds(40));
  REQUIRE(fleet.FindDisagreement().empty());
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_NodeKilled_OthersDetectItWithin15Seconds",
                 "[fleet]")
{
  fleet.Kill(5);
  fleet.Advance(seconds(15));
  REQUIRE(fleet.FindDisagreement().empty());
  fleet.Start(5);
  fleet.Advance(seconds(10));
  REQUIRE(fleet.FindDisagreement().empty());
}

TEST_CASE_METHOD(fleet_fixture,
                 "FleetNode_PausedNodeResumes_NotReadyUntilItCatchesUp",
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
                 "FleetNode_EveryNodeRestartsAtOnce_StoreRefusesNoCall",
                 "[fleet]")
{
  Apply(0, "op-1");
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.Kill(i);
  }
  fleet.StartAll();
  fleet.Advance(seconds(20));
  REQUIRE(fleet.FindDisagreement().empty());
  REQUIRE(fleet.Store().RefusedCalls() == 0);
}

// Guards against nodes that hold a configuration without knowing how old their
// knowledge of the store is.
TEST_CASE_METHOD(fleet_fixture,
                 "fleet node, change accepted, every node knows its source and "
                 "the age of its knowledge",
                 "[fleet][config-knowledge]")
{
  std::uint64_t version = Apply(3, "op-1");
  fleet.Advance(seconds(60));
  time_point now = fleet.Time().Now();
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    const config_knowledge& config = fleet.Node(i).Knowledge();
    CAPTURE(i);
    CHECK(config.version == version);
    CHECK_FALSE(config.source.empty());
    CHECK(now - config.taken_at >= seconds(60));
    REQUIRE(config.StoreAge(now));
    CHECK(*config.StoreAge(now) < seconds(40));
  }
}

TEST_CASE("peer codec, digest with and without the age of its knowledge, "
          "decodes to the same digest",
          "[codec][config-knowledge]")
{
  state_digest digest{ 3, 4, 5, true, std::nullopt };
  if (GENERATE(false, true)) {
    digest.store_age = milliseconds(1500);
  }
  result<peer_message> decoded =
    DecodeMessage(EncodeMessage(ping_message{ 3, digest }));
  REQUIRE(decoded);
  CHECK(std::get<ping_message>(*decoded).digest == digest);
}

// Guards against nodes that serve an older configuration because the
// connections of all watches have fallen silent.
TEST_CASE_METHOD(fleet_fixture,
                 "fleet node, watches never answered, change is in force in "
                 "time",
                 "[fleet][stale-config]")
{
  REQUIRE(Apply(0, "op-1") != 0);
  fleet.Store().SilencePendingWatches();
  std::uint64_t version = WriteToStore("op-2");
  CHECK(fleet.MeasureConvergenceTime(version, seconds(60)) < kInForceWithin);
}

// Guards against the same when links and watches fall silent together.
TEST_CASE_METHOD(
  fleet_fixture,
  "fleet node, links and watches fall silent, change is in force "
  "in time",
  "[fleet][stale-config]")
{
  REQUIRE(Apply(0, "op-1") != 0);
  fleet.SilenceOpenLinks();
  fleet.Store().SilencePendingWatches();
  std::uint64_t version = Apply(0, "op-2");
  CHECK(fleet.MeasureConvergenceTime(version, seconds(60)) < kInForceWithin);
}

// Guards against backoff that has grown during an outage in which calls get no
// answer, so that a change is noticed late after it.
TEST_CASE_METHOD(
  fleet_fixture,
  "fleet node, store answers again after an outage, change is in "
  "force in time",
  "[fleet][stale-config]")
{
  REQUIRE(Apply(0, "op-1") != 0);
  fleet.Store().SilencePendingWatches();
  fleet.Store().SetHanging(true);
  fleet.Advance(seconds(GENERATE(61, 62, 63, 64, 65, 66, 67, 68)));
  fleet.Store().SetHanging(false);
  std::uint64_t version = WriteToStore("op-2");
  CHECK(fleet.MeasureConvergenceTime(version, seconds(60)) < kInForceWithin);
}

// Guards against a node that takes a version that it could not decode for the
// one that it knows, and does not ask for it again.
TEST_CASE_METHOD(fleet_fixture,
                 "fleet node, answers of the store cut short, change is "
                 "read again",
                 "[fleet][stale-config]")
{
  constexpr duration kMaxRetryDelay = seconds(5);
  REQUIRE(Apply(0, "op-1") != 0);
  std::uint64_t version = WriteToStore("op-2");
  fleet.Store().TruncateAnswers(8);
  CHECK(fleet.MeasureConvergenceTime(version, seconds(60)) < kMaxRetryDelay);
}

// Guards against nodes that serve an older configuration because all links to
// the nodes that know of the change have fallen silent.
TEST_CASE_METHOD(
  fleet_fixture,
  "fleet node, links fall silent, change is in force in time and "
  "the nodes find each other again",
  "[fleet][stale-config]")
{
  REQUIRE(Apply(0, "op-1") != 0);
  fleet.SilenceOpenLinks();
  std::uint64_t version = Apply(0, "op-2");
  CHECK(fleet.MeasureConvergenceTime(version, seconds(60)) < kInForceWithin);
  fleet.Advance(seconds(60));
  CHECK(fleet.FindDisagreement() == "");
}

// Guards against a node that relies on watchers that stand still, and whose
// links to all other nodes have fallen silent.
TEST_CASE_METHOD(fleet_fixture,
                 "fleet node, watchers stand still, change is in force in time",
                 "[fleet][stale-config]")
{
  REQUIRE(Apply(0, "op-1") != 0);
  fleet.SilenceOpenLinks();
  std::set<std::size_t> running;
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    if (fleet.Node(i).WatchesStore()) {
      fleet.Pause(i, seconds(60));
    } else {
      running.insert(i);
    }
  }
  REQUIRE(running.size() == 4);
  std::uint64_t version = WriteToStore("op-2");
  fleet.Advance(kInForceWithin);
  for (std::size_t node : running) {
    CAPTURE(node);
    CHECK(fleet.Node(node).Config()->version == version);
  }
}

// Guards against nodes that rely on watchers which answer probes but are cut
// off from the store.
TEST_CASE_METHOD(
  fleet_fixture,
  "fleet node, all watchers cut off from the store, change is in "
  "force in time",
  "[fleet][stale-config]")
{
  REQUIRE(Apply(0, "op-1") != 0);
  fleet.Store().SilencePendingWatches();
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.SetStoreCut(i, fleet.Node(i).WatchesStore());
  }
  fleet.Advance(seconds(GENERATE(0, 30, 60)));
  std::uint64_t version = WriteToStore("op-2");
  CHECK(fleet.MeasureConvergenceTime(version, seconds(60)) < kInForceWithin);
}

// Guards against a node that takes the answer of a store without a
// configuration for knowledge that its own is the latest, and asks again
// without pause.
TEST_CASE_METHOD(fleet_fixture,
                 "fleet node, store answers with nothing, knowledge grows old "
                 "and change is in force in time after it",
                 "[fleet][stale-config]")
{
  REQUIRE(Apply(0, "op-1") != 0);
  fleet.Store().SetMissing(kConfigKey);
  CheckCallsOfAMinute();
  std::optional<duration> age =
    fleet.Node(1).Knowledge().StoreAge(fleet.Time().Now());
  REQUIRE(age);
  CHECK(*age > seconds(30));
  fleet.Store().SetMissing({});
  std::uint64_t version = WriteToStore("op-2");
  CHECK(fleet.MeasureConvergenceTime(version, seconds(60)) < kInForceWithin);
}

// Guards against retries without backoff: each read of the bootstrap record
// reset it, although the write that followed met a conflict again.
TEST_CASE_METHOD(fleet_fixture,
                 "fleet node, writes of the bootstrap record conflict, calls "
                 "back off",
                 "[fleet][stale-config]")
{
  fleet.Store().SetMissing(kBootstrapKey);
  CheckCallsOfAMinute();
}

// Guards against watches that name a version which the store no longer has, so
// that each is answered at once and the next one follows without pause.
TEST_CASE_METHOD(fleet_fixture,
                 "fleet node, store restored to an older version, watches wait "
                 "again",
                 "[fleet][stale-config]")
{
  REQUIRE(Apply(0, "op-1") != 0);
  stored_object older = fleet.Store().ObjectOf(kConfigKey);
  std::uint64_t version = WriteToStore("op-2");
  REQUIRE(fleet.MeasureConvergenceTime(version, seconds(60)) < kInForceWithin);
  fleet.Store().Restore(kConfigKey, older);
  CheckCallsOfAMinute();
  CHECK(fleet.Node(1).Config()->version == version);
}

// Guards against nodes that read the store themselves so often that a fleet of
// the target size uses up the store's rate.
TEST_CASE("fleet node, store out or in order, calls stay within its rate",
          "[fleet][stale-config]")
{
  constexpr std::size_t kNodes = 104;
  constexpr std::size_t kDomains = 13;
  constexpr double kReadsPerSecond = 2000;
  constexpr double kTargetNodes = 2100;
  constexpr double kSeconds = 60;
  virtual_fleet fleet(virtual_fleet_options{ kNodes, kDomains, 3 });
  fleet.StartAll();
  fleet.Advance(seconds(40));
  enum class store_state
  {
    in_order,
    unavailable,
    hanging,
  };
  auto state = GENERATE(
    store_state::in_order, store_state::unavailable, store_state::hanging);
  fleet.Store().SetUnavailable(state == store_state::unavailable);
  fleet.Store().SetHanging(state == store_state::hanging);
  std::uint64_t before = fleet.Store().Calls() + fleet.Store().FailedCalls();
  fleet.Advance(seconds(static_cast<int>(kSeconds)));
  std::uint64_t after = fleet.Store().Calls() + fleet.Store().FailedCalls();
  double perNode = static_cast<double>(after - before) / kSeconds / kNodes;
  CHECK(perNode * kTargetNodes < kReadsPerSecond);
}

TEST_CASE("PeerCodec_EncodedMessage_DecodesToTheSameMessage", "[codec]")
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

TEST_CASE("PeerCodec_TruncatedOrMalformedFrame_IsRefused", "[codec]")
{
  std::string frame = EncodeMessage(ping_message{ 3, {} });
  for (std::size_t length = 0; length < frame.size(); ++length) {
    REQUIRE(!DecodeMessage(frame.substr(0, length)));
  }
  for (const char* malformed : { "[]", "[7]", "{}", "[\"zz\"]", "[\"m\",7]" }) {
    REQUIRE(!DecodeMessage(malformed));
  }
}

// Guards against a status that no caller can handle: the first hop passed any
// status that another node named on to its caller.
TEST_CASE("peer codec, answer with an invalid status, is refused", "[codec]")
{
  const int status = GENERATE(-1, 1, 99, 100, 101, 199, 600, 999);
  answer_message answer;
  answer.status = status;
  CHECK_FALSE(DecodeMessage(EncodeMessage(answer)));
}

// Guards against a head that no caller can read: the first hop passed any name
// and value that another node sent on to its caller.
TEST_CASE("peer codec, answer with an invalid header field, is refused",
          "[codec]")
{
  answer_message answer;
  answer.status = 200;
  const http_header valid{ "content-type",
                           "text/plain;\tcharset=utf-8 \xC3\xA9" };
  answer.headers = { valid };
  REQUIRE(DecodeMessage(EncodeMessage(answer)));
  const http_header invalid =
    GENERATE(http_header{ "x odd", "1" },
             http_header{ "x-odd ", "1" },
             http_header{ "x-\x01odd", "1" },
             http_header{ "x-odd:", "1" },
             http_header{ "", "1" },
             http_header{ "x-odd", "1\r\nx-even: 2" },
             http_header{ "x-odd", std::string("a\0b", 3) },
             http_header{ "x-odd", "a\x7F" });
  answer.headers = { valid, invalid };
  CHECK_FALSE(DecodeMessage(EncodeMessage(answer)));
}

// Guards against a status beyond 32 bits that is cut to a valid one.
TEST_CASE("peer codec, status out of range, is refused", "[codec]")
{
  answer_message answer;
  answer.id = 7;
  answer.status = 200;
  std::string frame = EncodeMessage(answer);
  std::size_t at = frame.find(",200,");
  REQUIRE(at != std::string::npos);
  frame.replace(at, 5, ",4294967496,");
  CHECK_FALSE(DecodeMessage(frame));
}

TEST_CASE("peer codec, valid status or failure, is accepted", "[codec]")
{
  answer_message answer;
  answer.status = GENERATE(0, 200, 599); // 0: the call failed
  CHECK(DecodeMessage(EncodeMessage(answer)));
}
