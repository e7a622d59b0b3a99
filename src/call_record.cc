/// @file call_record.cc Records of non-idempotent calls in the platform's
/// store.
#include "call_record_func.h"

namespace fuchsiafall {

namespace {
constexpr int kRecordAttempts = 3;
}

record_result::status_type CreateRecordIn(const store_client& store,
                                          const create_record& record) {
  for (int i = 0; i < kRecordAttempts; ++i) {
    switch (store.write(record.key, record.value, 0)) {
      case store_write::kDone:
        return record_result::status_type::kCreated;
      case store_write::kNotSent:
        return record_result::status_type::kUnavailable;
      default:
        break;
    }
    store_value stored = store.read(record.key);
    if (stored.status == store_value::status_type::kFound) {
      return stored.value == record.value ? record_result::status_type::kCreated
                                          : record_result::status_type::kExists;
    }
  }
  return record_result::status_type::kUnavailable;
}

void ReleaseRecordIn(const store_client& store, const release_record& record) {
  store_value stored = store.read(record.key);
  bool is_ours = stored.status == store_value::status_type::kFound &&
                 stored.value == record.value;
  if (is_ours)
    store.remove(record.key, stored.modify_index);
}

}  // namespace fuchsiafall
