/// @file call_record_func.h Records in the platform's store of calls that may
/// not be repeated.
#ifndef CALL_RECORD_FUNC_H_
#define CALL_RECORD_FUNC_H_

#include "call_table_base.h"
#include "network/store_client.h"

namespace fuchsiafall {

/// Creates the record of a call; a lost answer is settled by reading back whose
/// it is.
/// @return kCreated only when no other attempt has created or will create it.
record_result::status_type CreateRecordIn(const store_client& store,
                                          const create_record& record);

/// Deletes the record of a call that certainly did not run, if it is still that
/// call's.
void ReleaseRecordIn(const store_client& store, const release_record& record);

}  // namespace fuchsiafall

#endif  // CALL_RECORD_FUNC_H_
