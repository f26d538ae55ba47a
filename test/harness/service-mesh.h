#ifndef EELGRASSTRACK_TEST_HARNESS_SERVICE_MESH_H_
#define EELGRASSTRACK_TEST_HARNESS_SERVICE_MESH_H_

#include "harness/mesh-world.h"

namespace eelgrasstrack::test {

/// A mesh of two hosts without an instance of the service and two with one.
class service_mesh
{
public:
  service_mesh()
  {
    fronts = { world.AddHost("front", "v1"), world.AddHost("front", "v1") };
    first = world.AddHost("orders", "v1");
    second = world.AddHost("orders", "v1");
    world.SetRoute(1, "/orders/", "orders", true);
    world.RunUntilInstancesKnown();
  }

  /// Sends a request through the front hosts in turn. Returns whether it was
  /// served.
  bool SendNext()
  {
    std::size_t front = fronts[mSent++ % fronts.size()];
    result<buffered_response> answer =
      world.SendRequest(front, "GET", "/orders/1");
    return answer && answer->status == 200;
  }

  /// Sends this many requests. Returns how many were served.
  int Send(int aCount)
  {
    int served = 0;
    for (int i = 0; i < aCount; ++i) {
      served += SendNext() ? 1 : 0;
    }
    return served;
  }

  mesh_world world;
  std::vector<std::size_t> fronts;
  std::size_t first = 0;
  std::size_t second = 0;

private:
  std::size_t mSent = 0;
};

} // namespace eelgrasstrack::test

#endif // EELGRASSTRACK_TEST_HARNESS_SERVICE_MESH_H_
