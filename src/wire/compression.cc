#include "wire/compression.h"

#include <array>
#include <zlib.h>

namespace eelgrasstrack {

namespace {

constexpr std::size_t kStepBytes = 16384;

Bytef*
BytesOf(std::string_view aText)
{
  // The library's input is not const but is not written to.
  return reinterpret_cast<Bytef*>(const_cast<char*>(aText.data()));
}

} // namespace

std::string
Compress(std::string_view aBytes)
{
  uLongf size = compressBound(aBytes.size());
  std::string packed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(packed.data()),
            &size,
            BytesOf(aBytes),
            aBytes.size(),
            Z_BEST_SPEED);
  packed.resize(size);
  return packed;
}

result<std::string>
Decompress(std::string_view aBytes, std::size_t aLimit)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return Fail(error_kind::internal, "no memory to unpack");
  }
  stream.next_in = BytesOf(aBytes);
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string unpacked;
  std::array<char, kStepBytes> step{};
  int outcome = Z_OK;
  while (outcome == Z_OK && unpacked.size() <= aLimit) {
    stream.next_out = reinterpret_cast<Bytef*>(step.data());
    stream.avail_out = static_cast<uInt>(step.size());
    outcome = inflate(&stream, Z_NO_FLUSH);
    unpacked.append(step.data(), step.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (unpacked.size() > aLimit) {
    return Fail(error_kind::too_large, "unpacked bytes");
  }
  if (outcome != Z_STREAM_END) {
    return Fail(error_kind::invalid_argument, "bytes that can't be unpacked");
  }
  return unpacked;
}

} // namespace eelgrasstrack
