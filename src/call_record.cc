/// @file call_record.cc Records in the platform's store of calls that may not
/// be repeated.
#include "call_record_func.h"

namespace fuchsiafall {

namespace {
constexpr int kRecordTries = 3;
}

record_result::status_type CreateRecordIn(const store_client& store,
                                          const create_record& record) {
  for (int i = 0; i < kRecordTries; ++i) {
    switch (store.write(record.key, record.value, 0)) {
      case store_write::kDone:
        return record_result::status_type::kCreated;
      case store_write::kNotSent:
        return record_result::status_type::kUnavailable;
      default:
        break;
    }
    store_value back = store.read(record.key);
    if (back.status == store_value::status_type::kFound) {
      return back.value == record.value ? record_result::status_type::kCreated
                                        : record_result::status_type::kExists;
    }
  }
  return record_result::status_type::kUnavailable;
}

void ReleaseRecordIn(const store_client& store, const release_record& record) {
  store_value back = store.read(record.key);
  bool is_ours = back.status == store_value::status_type::kFound &&
                 back.value == record.value;
  if (is_ours)
    store.remove(record.key, back.modify_index);
}

}  // namespace fuchsiafall
