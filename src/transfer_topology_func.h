/// @file transfer_topology_func.h Model servers of one service as the weight
/// transfer of a hosted agent sees them.
#ifndef TRANSFER_TOPOLOGY_FUNC_H_
#define TRANSFER_TOPOLOGY_FUNC_H_

#include <map>
#include <string>

#include "site_type.h"
#include "topology_base.h"

namespace fuchsiafall {

/// Makes the topology in which an agent exchanges weights with the others.
/// @param members Failure domains by server IP.
topology_ptr MakeTransferTopology(
    const site_settings& settings,
    const std::map<std::string, std::string>& members);

/// Computes the share of servers that load before this one. The order is by
/// the hash of their addresses, so that neighbours do not load together.
/// @param self IP of this server.
double ComputeLoadSlot(const std::map<std::string, std::string>& members,
                       const std::string& self);

}  // namespace fuchsiafall

#endif  // TRANSFER_TOPOLOGY_FUNC_H_
