/// @file compression.cc Compression of bodies between processes.
#include "network/compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

namespace fuchsiafall {

namespace {

constexpr int kLevel = 3;  // Beyond it, time grows faster than size falls.

}  // namespace

std::string Deflate(const std::string& bytes) {
  std::ostringstream out;
  Poco::DeflatingOutputStream stream(out, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                     kLevel);
  stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  stream.close();
  return out.str();
}

outcome<std::string> Inflate(const std::string& bytes, size_t max_bytes) {
  std::istringstream in(bytes);
  Poco::InflatingInputStream stream(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
  std::string text;
  std::array<char, 16384> buffer{};
  try {
    while (stream) {
      stream.read(buffer.data(), buffer.size());
      text.append(buffer.data(), static_cast<size_t>(stream.gcount()));
      if (text.size() > max_bytes)
        return failure{"decompressed body exceeds " +
                       std::to_string(max_bytes) + " bytes"};
    }
    if (stream.bad())
      return failure{"compressed body is incomplete"};
  } catch (const Poco::Exception& e) {
    return failure{e.displayText()};
  }
  return text;
}

}  // namespace fuchsiafall
