/// @file call_record_func.h Records of non-idempotent calls in the platform's
/// store.
#ifndef CALL_RECORD_FUNC_H_
#define CALL_RECORD_FUNC_H_

#include "call_table_base.h"
#include "network/store_client.h"

namespace fuchsiafall {

/// Creates the record of a call. If the store's answer is lost, reads the
/// record back to find out which attempt created it.
/// @return kCreated only if no other attempt has created or can create it.
record_result::status_type CreateRecordIn(const store_client& store,
                                          const create_record& record);

/// Deletes the record of a call that is known not to have run, unless another
/// attempt has replaced it.
void ReleaseRecordIn(const store_client& store, const release_record& record);

}  // namespace fuchsiafall

#endif  // CALL_RECORD_FUNC_H_
