#ifndef EELGRASSTRACK_WIRE_PACKING_H_
#define EELGRASSTRACK_WIRE_PACKING_H_

#include <string>
#include <string_view>

#include "base/error.h"

namespace eelgrasstrack {

/// Compresses bytes (zlib format, RFC 1950).
std::string
Pack(std::string_view aBytes);

/// Fails with `invalid_argument`, and with `too_large` above `aLimit` bytes.
result<std::string>
Unpack(std::string_view aBytes, std::size_t aLimit);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_PACKING_H_
