/// @file store_client.h Interface of the platform's key-value store, and its
/// HTTP client.
#ifndef NETWORK_STORE_CLIENT_H_
#define NETWORK_STORE_CLIENT_H_

#include <functional>
#include <string>

#include "time_type.h"

namespace fuchsiafall {

/// Value of a key with the index of its last change, which is 0 while it does
/// not exist.
struct store_value {
  enum class status_type { kFound, kAbsent, kUnreachable };
  status_type status = status_type::kUnreachable;
  std::string value;
  uint64_t modify_index = 0;  ///< For compare-and-swap.
  uint64_t watch_index = 0;   ///< For the next watch.
};

/// Result of a compare-and-swap.
enum class store_write {
  kDone,
  kConflict,  ///< The key has changed since; nothing was written.
  kNotSent,   ///< No connection to the store; nothing was written.
  kUnknown,   ///< No valid answer; the write may have been done.
};

/// Operations of the store. Each blocks no longer than its timeout.
struct store_client {
  std::function<store_value(const std::string& key)> read;
  /// Blocks until the key has changed since watch_index, or the wait is over.
  std::function<store_value(const std::string& key,
                            uint64_t watch_index,
                            milliseconds wait)>
      watch;
  /// Writes if the key still has this modify_index; 0 creates it.
  std::function<store_write(const std::string& key,
                            const std::string& value,
                            uint64_t modify_index)>
      write;
  /// Deletes if the key still has this modify_index.
  std::function<store_write(const std::string& key, uint64_t modify_index)>
      remove;
};

/// Creates a client of a store with Consul's KV API.
/// @param address ip:port
store_client MakeStoreClient(const std::string& address, milliseconds timeout);

}  // namespace fuchsiafall

#endif  // NETWORK_STORE_CLIENT_H_
