/// @file compression.h Compression of bodies between processes.
#ifndef NETWORK_COMPRESSION_H_
#define NETWORK_COMPRESSION_H_

#include <string>

#include "outcome_type.h"

namespace fuchsiafall {

/// Compresses bytes; configurations shrink to about a tenth.
std::string Deflate(const std::string& bytes);
/// Decompresses bytes.
/// @param max_bytes Maximum size after decompression.
outcome<std::string> Inflate(const std::string& bytes, size_t max_bytes);

}  // namespace fuchsiafall

#endif  // NETWORK_COMPRESSION_H_
