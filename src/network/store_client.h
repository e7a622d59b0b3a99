/// @file store_client.h The platform's key-value store, as hooks, and its HTTP
/// adapter.
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
  kConflict,  ///< The key had changed; nothing was written.
  kNotSent,   ///< The store took no connection; nothing was written.
  kUnknown,   ///< No answer came; it may have been written.
};

/// Calls of the store. Each blocks for no longer than its timeout.
struct store_client {
  std::function<store_value(const std::string& key)> read;
  /// Waits until the key has changed since watch_index, for no longer than the
  /// wait.
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

/// Makes a client of a store that speaks Consul's KV protocol over HTTP.
/// @param address ip:port
store_client MakeStoreClient(const std::string& address, milliseconds timeout);

}  // namespace fuchsiafall

#endif  // NETWORK_STORE_CLIENT_H_
