#include <catch2/catch.hpp>

#include "quota/permit-codec.h"
#include "quota/quota-owners.h"

using namespace eelgrasstrack;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

class quota_owners_fixture
{
public:
  quota_owners_fixture()
  {
    for (int i = 0; i < 10; ++i) {
      Merge("node-" + std::to_string(i));
    }
  }

  void Merge(const std::string& aName,
             bool aLeaving = false,
             std::uint64_t aSequence = 1)
  {
    host_record record;
    record.name = aName;
    record.domain = "a";
    record.incarnation = 1;
    record.sequence = aSequence;
    record.leaving = aLeaving;
    directory.Merge(record, now);
  }

  time_point now{ seconds(100) };
  host_directory directory{ "node-0" };
  quota_owners owners{ directory };
};

} // namespace

// Guards against an organisation without an owner, or with one that is lost.
TEST_CASE_METHOD(quota_owners_fixture,
                 "quota owners, owner lost or stopping, another host owns",
                 "[quota]")
{
  std::string first = owners.OwnerOf("bakery");
  REQUIRE_FALSE(first.empty());
  Merge(first, true, 2);
  std::string second = owners.OwnerOf("bakery");
  CHECK(second != first);
  directory.MarkUnreachable(second, now);
  std::string third = owners.OwnerOf("bakery");
  CHECK(third != second);
  CHECK(third != first);
  directory.MarkReachable(second);
  CHECK(owners.OwnerOf("bakery") == second);
}

// Guards against a host that owns all organisations.
TEST_CASE_METHOD(quota_owners_fixture,
                 "quota owners, many organisations, are spread over the hosts",
                 "[quota]")
{
  std::map<std::string, int> counts;
  for (int i = 0; i < 200; ++i) {
    ++counts[owners.OwnerOf("organisation-" + std::to_string(i))];
  }
  CHECK(counts.size() == 10);
  for (const auto& [name, count] : counts) {
    CHECK(count < 60);
  }
}

// Guards against QUOTA: a node that has just started takes itself for the only
// one and grants all limits.
TEST_CASE("quota owners, no other host known, nobody owns", "[quota]")
{
  host_directory directory("node-0");
  host_record self;
  self.name = "node-0";
  self.incarnation = 1;
  directory.Merge(self, {});
  quota_owners owners(directory);
  CHECK(owners.OwnerOf("bakery").empty());
}

// Guards against QUOTA: both parts of a partition grant the whole limit, also
// after they have removed each other.
TEST_CASE_METHOD(quota_owners_fixture,
                 "quota owners, hosts lost and removed, share is that of the "
                 "reachable ones",
                 "[quota]")
{
  CHECK(owners.ReachableShare(now) == Approx(1));
  for (const char* name : { "node-7", "node-8", "node-9" }) {
    directory.MarkUnreachable(name, now);
  }
  CHECK(owners.ReachableShare(now) == Approx(0.7));
  now += seconds(61);
  for (const host_record& removed :
       directory.RemoveUnreachable(seconds(60), now)) {
    owners.RecordRemoved(removed.name, now);
  }
  CHECK(owners.ReachableShare(now) == Approx(0.7));
  Merge("node-9", false, 2);
  CHECK(owners.ReachableShare(now) == Approx(0.8));
  CHECK(owners.ReachableShare(now + minutes(11)) == Approx(1));
}

// Guards against a stopping host that counts as unreachable.
TEST_CASE_METHOD(quota_owners_fixture,
                 "quota owners, host stopping, share stays whole",
                 "[quota]")
{
  Merge("node-5", true, 2);
  directory.MarkUnreachable("node-5", now);
  CHECK(owners.ReachableShare(now) == Approx(1));
}

TEST_CASE("permit messages, malformed, are refused with a reason", "[quota]")
{
  CHECK_FALSE(DecodePermitRequest("{}"));
  CHECK_FALSE(DecodePermitRequest(R"({"from":1,"asks":[]})"));
  CHECK_FALSE(DecodePermitRequest(R"({"from":"a","asks":[["b",-1]]})"));
  CHECK_FALSE(DecodePermitRequest(R"({"from":"a","asks":[["b",1e30]]})"));
  CHECK_FALSE(DecodePermitRequest(R"({"from":"a","asks":[[]]})"));
  CHECK_FALSE(DecodePermitAnswers(R"({"grants":[["b",1]]})"));
  CHECK_FALSE(DecodePermitAnswers(R"({"grants":[["b",1,-5]]})"));
  result<permit_request> request =
    DecodePermitRequest(EncodePermitRequest({ "a", { { "b", 3 } } }));
  REQUIRE(request);
  CHECK(request->from == "a");
  REQUIRE(request->asks.size() == 1);
  CHECK(request->asks[0].organisation == "b");
  CHECK(request->asks[0].count == 3);
  result<std::vector<permit_answer>> answers = DecodePermitAnswers(
    EncodePermitAnswers({ { "b", { 2, std::chrono::microseconds(1200) } } }));
  REQUIRE(answers);
  REQUIRE(answers->size() == 1);
  CHECK((*answers)[0].grant.count == 2);
  CHECK((*answers)[0].grant.wait == std::chrono::milliseconds(2));
}
