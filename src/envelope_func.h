/// @file envelope_func.h Creation of message envelopes.
#ifndef ENVELOPE_FUNC_H_
#define ENVELOPE_FUNC_H_

#include "ids_type.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

/// Creates an envelope with the sender's VM id and incarnation.
inline proto::envelope MakeEnvelope(const vm_id& self, incarnation own) {
  proto::envelope message;
  message.set_vm(self.value);
  message.set_incarnation(own.value);
  return message;
}

}  // namespace fuchsiafall

#endif  // ENVELOPE_FUNC_H_
