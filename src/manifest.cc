/// @file manifest.cc Creation of manifests.
#include <Poco/Crypto/DigestEngine.h>

#include "hash_func.h"
#include "manifest_func.h"

namespace fuchsiafall {

outcome<proto::manifest> MakeManifest(std::istream* weights,
                                      uint32_t chunk_bytes,
                                      const chunk_hook& on_chunk) {
  proto::manifest manifest;
  manifest.set_chunk_bytes(chunk_bytes);
  Poco::Crypto::DigestEngine whole("SHA256");
  std::string chunk(chunk_bytes, '\0');
  while (weights->good()) {
    weights->read(chunk.data(), chunk_bytes);
    const auto length = static_cast<size_t>(weights->gcount());
    if (length == 0)
      break;
    const std::string bytes = chunk.substr(0, length);
    whole.update(bytes.data(), bytes.size());
    const digest chunk_digest = DigestOf(bytes);
    manifest.add_chunk_digests(chunk_digest.value);
    manifest.set_total_bytes(manifest.total_bytes() + length);
    if (on_chunk)
      on_chunk(chunk_digest, bytes);
  }
  if (weights->bad())
    return failure{"the weights cannot be read"};
  if (manifest.total_bytes() == 0)
    return failure{"the weights are empty"};
  const Poco::DigestEngine::Digest& sum = whole.digest();
  manifest.set_whole_digest(std::string(sum.begin(), sum.end()));
  return manifest;
}

}  // namespace fuchsiafall
