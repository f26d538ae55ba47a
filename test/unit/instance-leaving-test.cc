#include <catch2/catch.hpp>

#include "harness/service-mesh.h"
#include "mesh/host-directory.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;
using std::chrono::milliseconds;

namespace {

/// The first of two instances is about to leave.
class leaving_fixture : public service_mesh
{
public:
  /// Lets every front host forward an answer of the leaving instance.
  void LetAllFrontsLearn()
  {
    world.Behaviour(leaver).leaving = true;
    unsigned before = world.RunCount(leaver);
    Send(kRequests);
    REQUIRE(world.RunCount(leaver) > before);
  }

  static constexpr int kRequests = 100;
  /// Time for which a leaving instance may still get requests.
  const duration drain_time = mesh_bounds{}.drain_time;
  const std::size_t leaver = first;
};

/// A directory that knows two more hosts, the second with a leaving instance.
class leaving_directory_fixture
{
public:
  leaving_directory_fixture()
  {
    for (const char* name : { "self", "stays", "leaves" }) {
      directory.Merge(Record(name, 1, instance_state::ready), start);
    }
    directory.Merge(Record("leaves", 2, instance_state::draining), start);
  }

  static host_record Record(const std::string& aName,
                            std::uint64_t aSequence,
                            instance_state aState)
  {
    host_record record;
    record.name = aName;
    record.sequence = aSequence;
    record.instance.id = "i-" + aName;
    record.instance.service = "orders";
    record.instance.state = aState;
    return record;
  }

  std::size_t ServingCount() const
  {
    return directory.ServingHosts("orders").size();
  }

  const time_point start = time_point(std::chrono::hours(1));
  host_directory directory{ "self" };
};

} // namespace

// Guards against DRAIN: an instance that says in its answers that it is leaving
// still gets requests after the drain time.
TEST_CASE_METHOD(leaving_fixture,
                 "instance leaving, said in an answer only, gets no requests "
                 "after the drain time",
                 "[instance-leaving]")
{
  LetAllFrontsLearn();
  world.RunFor(drain_time);
  unsigned before = world.RunCount(leaver);
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(leaver) == before);
}

// Guards against DRAIN after a restart: the node beside the leaving instance
// starts again, takes it for ready and the other hosts believe that.
TEST_CASE_METHOD(leaving_fixture,
                 "instance leaving, node beside it restarts, gets no requests "
                 "from hosts that heard of it",
                 "[instance-leaving]")
{
  world.Store().unavailable = true; // its entry stays as it was: ready
  LetAllFrontsLearn();
  world.RunFor(drain_time);
  world.RestartNode(leaver);
  world.Announce(leaver, instance_state::ready);
  world.RunFor(milliseconds(300));
  unsigned before = world.RunCount(leaver);
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(leaver) == before);
}

// Guards against DRAIN after a restart, for instances that announce their
// draining and for those that only send their exit notice.
TEST_CASE_METHOD(
  leaving_fixture,
  "instance leaving, announced, node beside it restarts, gets no "
  "requests from hosts that know",
  "[instance-leaving]")
{
  world.Store().unavailable = true;
  SECTION("drains")
  {
    world.Announce(leaver, instance_state::draining);
  }
  SECTION("exits")
  {
    world.Node(leaver).HandleInstanceExit({ "i-2", {} });
  }
  world.RunFor(milliseconds(300));
  world.RestartNode(leaver);
  world.RunFor(milliseconds(300));
  unsigned before = world.RunCount(leaver);
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(leaver) == before);
}

TEST_CASE_METHOD(leaving_fixture,
                 "instance leaving, starts again with its id, gets requests",
                 "[instance-leaving]")
{
  LetAllFrontsLearn();
  world.RunFor(milliseconds(100));
  world.RestartInstance(leaver);
  world.RunFor(milliseconds(300));
  unsigned before = world.RunCount(leaver);
  CHECK(Send(kRequests) == kRequests);
  CHECK(world.RunCount(leaver) > before);
}

TEST_CASE_METHOD(
  leaving_directory_fixture,
  "host directory, leaving instance said to be ready again, does "
  "not serve",
  "[instance-leaving]")
{
  CHECK(ServingCount() == 2);
  directory.Merge(Record("leaves", 3, instance_state::ready), start);
  CHECK(ServingCount() == 2);
  directory.Merge(Record("leaves", 4, instance_state::absent), start);
  directory.Merge(Record("leaves", 5, instance_state::ready), start);
  CHECK(ServingCount() == 2);
}

TEST_CASE_METHOD(leaving_directory_fixture,
                 "host directory, host removed and back, leaving instance does "
                 "not serve",
                 "[instance-leaving]")
{
  directory.MarkUnreachable("leaves", start);
  (void)directory.RemoveUnreachable(std::chrono::seconds(60),
                                    start + std::chrono::seconds(61));
  REQUIRE(directory.Find("leaves") == nullptr);
  directory.Merge(Record("leaves", 1, instance_state::ready),
                  start + std::chrono::seconds(62));
  CHECK(ServingCount() == 2);
}

TEST_CASE_METHOD(leaving_directory_fixture,
                 "host directory, next incarnation of a leaving instance, "
                 "serves",
                 "[instance-leaving]")
{
  host_record next = Record("leaves", 3, instance_state::ready);
  next.instance.started_unix_ms = 1;
  directory.Merge(next, start);
  CHECK(ServingCount() == 3);
}
