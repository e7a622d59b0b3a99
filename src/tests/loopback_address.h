/// @file loopback_address.h Free addresses on loopback for tests.
#ifndef TESTS_LOOPBACK_ADDRESS_H_
#define TESTS_LOOPBACK_ADDRESS_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <string>

namespace fuchsiafall::tests {

/// Returns an address on loopback that nothing listens at.
inline std::string FreeAddress() {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true);
  return socket.address().toString();
}

}  // namespace fuchsiafall::tests

#endif  // TESTS_LOOPBACK_ADDRESS_H_
