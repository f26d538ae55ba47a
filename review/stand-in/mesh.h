#ifndef EELGRASSTRACK_REVIEW_MESH_H_
#define EELGRASSTRACK_REVIEW_MESH_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <sys/types.h>
#include <vector>

#include "instance.h"
#include "store.h"

namespace review {

/// A route of the configuration.
struct route
{
  std::string name;
  std::string prefix;
  std::string service;
  bool idempotent = true;
  double timeout_s = 2;
  unsigned attempts = 2;
  double goal_s = 0.5;
};

/// A machine: one process of the project and, usually, the instance beside it.
struct machine
{
  std::string name;
  std::string ip;
  std::string zone;
  std::string service;
  std::string version;
  pid_t process = -1;
  std::unique_ptr<instance> application;
};

/// A small deployment on loopback addresses: the store, machines with the
/// project's own program as separate processes, and instances. Its threads end
/// with the process, so it is never destroyed.
class mesh
{
public:
  /// `aServices`: the service of each machine, in order. The zones take turns.
  /// After `@` may stand a version, whose instances `StartInstance` starts.
  mesh(const std::vector<std::string>& aServices,
       std::vector<route> aRoutes,
       record& aRecord);
  ~mesh() = delete;
  mesh(const mesh&) = delete;
  mesh& operator=(const mesh&) = delete;

  /// Starts everything and waits until each node is ready and serves each
  /// route. Returns false if that takes too long.
  bool Start();

  machine& At(std::size_t aIndex) { return mMachines.at(aIndex); }
  std::size_t Size() const { return mMachines.size(); }
  store& Store() { return mStore; }

  /// Ends all processes and removes the temporary folder.
  void Stop();

  /// Starts the process of a machine.
  void StartNode(std::size_t aIndex, bool aFirstStart);
  /// Starts the instance of a machine. Returns false if that fails.
  bool StartInstance(std::size_t aIndex);
  /// Writes a later configuration with one more route.
  void AddRoute(const route& aRoute);
  /// Sends a signal to the process of a machine.
  void Signal(std::size_t aIndex, int aSignal);
  /// Kills the process of a machine and waits for its end.
  void KillNode(std::size_t aIndex);
  /// Whether the process of a machine has ended.
  bool HasEnded(std::size_t aIndex);
  /// Resident memory of the process of a machine, in MB.
  double ResidentMegabytes(std::size_t aIndex) const;

  address Outbound(std::size_t aIndex) const;
  address Control(std::size_t aIndex) const;
  address Ready(std::size_t aIndex) const;
  address Application(std::size_t aIndex) const;
  /// Asks the ready address once, as the platform does each second.
  bool IsReady(std::size_t aIndex,
               milliseconds aTimeout = milliseconds(1000)) const;
  /// A host name of the configuration.
  static const char* HostName() { return "hulo84.example"; }
  /// Memory that a process may use, in MB, as the settings say.
  static constexpr double kMemoryMegabytes = 260;

private:
  nlohmann::json Settings(std::size_t aIndex, bool aFirstStart) const;
  nlohmann::json Configuration() const;
  bool Serves(std::size_t aIndex, const route& aRoute) const;

  record& mRecord;
  std::vector<route> mRoutes;
  int mVersion = 7;
  std::string mPrefix;
  std::string mFolder;
  std::uint16_t mFirstPort = 0;
  std::vector<std::uint16_t> mPorts;
  std::vector<machine> mMachines;
  store mStore;
};

} // namespace review

#endif // EELGRASSTRACK_REVIEW_MESH_H_
