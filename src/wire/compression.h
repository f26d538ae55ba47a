#ifndef EELGRASSTRACK_WIRE_COMPRESSION_H_
#define EELGRASSTRACK_WIRE_COMPRESSION_H_

#include <string>
#include <string_view>

#include "base/error.h"

namespace eelgrasstrack {

/// Compresses bytes into the zlib format (RFC 1950).
std::string
Compress(std::string_view aBytes);

/// Decompresses zlib data. Fails with `invalid_argument` if the data is
/// malformed or truncated, and with `too_large` if the result exceeds `aLimit`
/// bytes.
result<std::string>
Decompress(std::string_view aBytes, std::size_t aLimit);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_WIRE_COMPRESSION_H_
