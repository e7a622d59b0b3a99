/// @file ip_port_func.h Check of addresses that other machines name.
#ifndef IP_PORT_FUNC_H_
#define IP_PORT_FUNC_H_

#include <string>

namespace fuchsiafall {

/// Checks whether an address is an IPv4 address and a port above 0, as in
/// 10.0.0.1:80. A name is not: resolving it would stop the event loop.
bool IsIpPort(const std::string& address);

}  // namespace fuchsiafall

#endif  // IP_PORT_FUNC_H_
