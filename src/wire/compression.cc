#include "wire/compression.h"

#include <array>
#include <zlib.h>

namespace eelgrasstrack {

namespace {

constexpr std::size_t kChunkBytes = 16384;

Bytef*
BytesOf(std::string_view aText)
{
  // zlib declares its input as not const but does not write to it.
  return reinterpret_cast<Bytef*>(const_cast<char*>(aText.data()));
}

} // namespace

std::string
Compress(std::string_view aBytes)
{
  uLongf size = compressBound(aBytes.size());
  std::string compressed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(compressed.data()),
            &size,
            BytesOf(aBytes),
            aBytes.size(),
            Z_BEST_SPEED);
  compressed.resize(size);
  return compressed;
}

result<std::string>
Decompress(std::string_view aBytes, std::size_t aLimit)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return Fail(error_kind::internal,
                "decompression: zlib could not be initialized");
  }
  stream.next_in = BytesOf(aBytes);
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string decompressed;
  std::array<char, kChunkBytes> chunk{};
  int outcome = Z_OK;
  while (outcome == Z_OK && decompressed.size() <= aLimit) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    outcome = inflate(&stream, Z_NO_FLUSH);
    decompressed.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (decompressed.size() > aLimit) {
    return Fail(error_kind::too_large,
                "compressed data: decompressed size exceeds the limit");
  }
  if (outcome != Z_STREAM_END) {
    return Fail(error_kind::invalid_argument,
                "compressed data: malformed or truncated");
  }
  return decompressed;
}

} // namespace eelgrasstrack
