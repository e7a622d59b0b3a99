/// @file manifest_func.h Creation of manifests.
#ifndef MANIFEST_FUNC_H_
#define MANIFEST_FUNC_H_

#include <functional>
#include <istream>

#include "ids_type.h"
#include "outcome_type.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

inline constexpr uint32_t kDefaultChunkBytes = 4 * 1024 * 1024;

/// Called with each chunk and its digest.
using chunk_hook = std::function<void(const digest&, const std::string&)>;

/// Splits weights into chunks and builds the manifest of their digests.
/// @param chunk_bytes Chunk size in bytes; the last chunk may be shorter.
/// @param on_chunk Called for each chunk in order; may be empty.
outcome<proto::manifest> MakeManifest(std::istream* weights,
                                      uint32_t chunk_bytes,
                                      const chunk_hook& on_chunk);

}  // namespace fuchsiafall

#endif  // MANIFEST_FUNC_H_
