/// @file ip_port_func.cc Check of addresses that other machines name.
#include "ip_port_func.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>

namespace fuchsiafall {

bool IsIpPort(const std::string& address) {
  const size_t colon = address.find(':');
  if (colon == std::string::npos || address.find('\0') != std::string::npos)
    return false;
  in_addr ip{};
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip) != 1)
    return false;
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  auto [next, error] = std::from_chars(address.data() + colon + 1, end, port);
  return error == std::errc() && next == end && port > 0;
}

}  // namespace fuchsiafall
