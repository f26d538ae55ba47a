#ifndef EELGRASSTRACK_STORE_OBJECT_STORE_H_
#define EELGRASSTRACK_STORE_OBJECT_STORE_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "base/error.h"

namespace eelgrasstrack {

/// A value with the store's version of it. Version 0 means "no such object".
struct stored_object
{
  std::uint64_t version = 0;
  std::string value;
};

using get_callback = std::function<void(result<stored_object>)>;
using put_callback = std::function<void(result<std::uint64_t>)>;

/// The platform's object store. Every callback is called once, later.
///
/// Errors: `store_unavailable` (a write with it may have taken effect),
/// `conflict` (the object has another version than expected; the write did
/// not take effect), `overloaded` (refused by the store or by our own call
/// budget; nothing took effect).
class object_store
{
public:
  virtual ~object_store() = default;

  virtual void Get(const std::string& aKey, get_callback aDone) = 0;

  /// Writes only if the object still has `aExpectedVersion` (0: must not
  /// exist). Yields the new version.
  virtual void Put(const std::string& aKey,
                   std::string aValue,
                   std::uint64_t aExpectedVersion,
                   put_callback aDone) = 0;

  /// Waits until the object's version differs from `aKnownVersion`, at most
  /// for `aWait`, and yields the object as it is then.
  virtual void Watch(const std::string& aKey,
                     std::uint64_t aKnownVersion,
                     duration aWait,
                     get_callback aDone) = 0;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_STORE_OBJECT_STORE_H_
