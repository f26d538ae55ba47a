#ifndef EELGRASSTRACK_MESH_HOST_DIRECTORY_H_
#define EELGRASSTRACK_MESH_HOST_DIRECTORY_H_

#include <map>
#include <set>
#include <vector>

#include "mesh/host-record.h"

namespace eelgrasstrack {

/// A host as this node sees it.
struct known_host
{
  host_record record;
  /// Local time when the record was taken.
  time_point updated_at{};
  /// No answer from it lately; work goes elsewhere until a probe succeeds.
  bool unreachable = false;
  time_point unreachable_since{};
};

/// All hosts that this node knows of, itself included.
class host_directory
{
public:
  explicit host_directory(std::string aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  /// Takes a record unless a newer one is known. Returns whether it was taken.
  bool Merge(const host_record& aRecord, time_point aNow);

  void MarkUnreachable(const std::string& aName, time_point aNow);
  /// Returns whether the host counted as unreachable until now.
  bool MarkReachable(const std::string& aName);

  /// Drops hosts that were unreachable for longer than `aAfter`. A node that
  /// reaches half of the hosts or fewer drops none: it may be the one that is
  /// cut off, and has to find the others again.
  std::vector<host_record> RemoveUnreachable(duration aAfter, time_point aNow);
  /// Whether the host was dropped and has not spoken since.
  bool WasRemoved(const std::string& aName) const
  {
    return mRemoved.count(aName) > 0;
  }

  const known_host* Find(const std::string& aName) const;
  const std::map<std::string, known_host>& All() const { return mHosts; }
  const std::string& Self() const { return mSelf; }

  /// Hosts beside a ready instance of the service that take new work, in the
  /// order of their names. Holds until the next change of the directory.
  const std::vector<const known_host*>& ServingHosts(
    const std::string& aService) const;

private:
  bool ReachesMajority() const;
  void RebuildIndex() const;

  std::string mSelf;
  std::map<std::string, known_host> mHosts;
  std::set<std::string> mRemoved;
  /// Serving hosts by service: asked for with every request, while records
  /// change seldom. Made anew when it is asked for after a change.
  mutable std::map<std::string, std::vector<const known_host*>> mServing;
  mutable bool mIndexValid = false;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_MESH_HOST_DIRECTORY_H_
