/// @file blob_store.cc In-memory store of verified blobs.
#include "blob_store_base.h"

namespace fuchsiafall {

void blob_store::Put(const digest& key, shared_bytes bytes) {
  std::lock_guard lock(mutex_);
  shared_bytes& stored = blobs_[key];
  if (stored != nullptr)
    total_bytes_ -= stored->size();
  stored = std::move(bytes);
  total_bytes_ += stored->size();
}

shared_bytes blob_store::Find(const digest& key) const {
  std::lock_guard lock(mutex_);
  auto it = blobs_.find(key);
  return it == blobs_.end() ? nullptr : it->second;
}

void blob_store::KeepOnly(const std::set<digest>& keys) {
  std::lock_guard lock(mutex_);
  std::erase_if(blobs_,
                [&](const auto& item) { return !keys.contains(item.first); });
  total_bytes_ = 0;
  for (const auto& [key, bytes] : blobs_)
    total_bytes_ += bytes->size();
}

uint64_t blob_store::TotalBytes() const {
  std::lock_guard lock(mutex_);
  return total_bytes_;
}

}  // namespace fuchsiafall
