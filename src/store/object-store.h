#ifndef EELGRASSTRACK_STORE_OBJECT_STORE_H_
#define EELGRASSTRACK_STORE_OBJECT_STORE_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "base/error.h"

namespace eelgrasstrack {

/// An object's value and version. Version 0 means that the object does not
/// exist.
struct stored_object
{
  std::uint64_t version = 0;
  std::string value;
};

using get_callback = std::function<void(result<stored_object>)>;
using put_callback = std::function<void(result<std::uint64_t>)>;

/// Client of the platform's object store. Each callback is called exactly once,
/// never before the method has returned.
///
/// Errors: `store_unavailable` (a write may have taken effect), `conflict` (the
/// object's version differs from the expected one; the write had no effect),
/// `overloaded` (refused by the store or by the node's own call budget; the
/// call had no effect).
class object_store
{
public:
  virtual ~object_store() = default;

  /// Reads an object.
  virtual void Get(const std::string& aKey, get_callback aDone) = 0;

  /// Compare-and-set: writes only if the object's version is
  /// `aExpectedVersion` (0: the object must not exist). Yields the new version.
  virtual void Put(const std::string& aKey,
                   std::string aValue,
                   std::uint64_t aExpectedVersion,
                   put_callback aDone) = 0;

  /// Long poll: waits until the object's version differs from `aKnownVersion`,
  /// at most for `aWait`, then yields the current object.
  virtual void Watch(const std::string& aKey,
                     std::uint64_t aKnownVersion,
                     duration aWait,
                     get_callback aDone) = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_STORE_OBJECT_STORE_H_
