/// @file blob_store_base.h In-memory store of verified blobs, keyed by digest.
#ifndef BLOB_STORE_BASE_H_
#define BLOB_STORE_BASE_H_

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

#include "ids_type.h"
#include "output_type.h"

namespace fuchsiafall {

/// Holds blobs whose bytes match their digests. Thread-safe.
class blob_store {
 public:
  /// Adds a blob, or replaces the one stored under this key.
  /// @pre The caller has verified that the bytes match the digest, unless the
  /// key is the name of a manifest without one.
  void Put(const digest& key, shared_bytes bytes);
  /// Looks up a blob.
  /// @return Null when it is not stored.
  shared_bytes Find(const digest& key) const;
  /// Removes all blobs except those in `keys`.
  void KeepOnly(const std::set<digest>& keys);
  /// Total size of all blobs, in bytes.
  uint64_t TotalBytes() const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<digest, shared_bytes> blobs_;
  uint64_t total_bytes_ = 0;
};

}  // namespace fuchsiafall

#endif  // BLOB_STORE_BASE_H_
