/// @file http_call.cc HTTP calls through Poco's client.
#include "network/http_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <istream>
#include <vector>

namespace fuchsiafall {

namespace {

constexpr size_t kReadBytes = 64 * 1024;

/// Reads the bytes available, blocking until there is at least one.
std::string ReadAvailable(std::istream* body, std::vector<char>* buffer) {
  int first = body->get();
  if (first == std::char_traits<char>::eof())
    return "";
  std::string data(1, static_cast<char>(first));
  std::streamsize more =
      body->readsome(buffer->data(), static_cast<std::streamsize>(kReadBytes));
  if (more > 0)
    data.append(buffer->data(), static_cast<size_t>(more));
  return data;
}

/// Reads the whole body and checks its length against Content-Length, if any.
/// @param announced Content-Length, or -1 without one.
/// @param max_bytes Bound beyond which the body counts as incomplete.
http_result::status_type ReadBody(std::istream* body,
                                  std::streamsize announced,
                                  uint64_t max_bytes,
                                  const body_hook& on_data,
                                  http_result* result) {
  std::vector<char> buffer(kReadBytes);
  std::streamsize length = 0;
  for (std::string data = ReadAvailable(body, &buffer); !data.empty();
       data = ReadAvailable(body, &buffer)) {
    length += static_cast<std::streamsize>(data.size());
    if (static_cast<uint64_t>(length) > max_bytes)
      return http_result::status_type::kIncomplete;
    if (!on_data) {
      result->body += data;
    } else if (!on_data(*result, data)) {
      return http_result::status_type::kCancelled;
    }
  }
  bool is_truncated = announced >= 0 && length != announced;
  return is_truncated ? http_result::status_type::kIncomplete
                      : http_result::status_type::kAnswered;
}

}  // namespace

http_result CallHttp(const http_call& call, const body_hook& on_data) {
  http_result result;
  bool is_sent = false;
  try {
    Poco::Net::SocketAddress address(call.address);
    Poco::Net::StreamSocket socket;
    const Poco::Timespan timeout(call.timeout.count() *
                                 Poco::Timespan::MILLISECONDS);
    socket.connect(address, timeout);
    socket.setNoDelay(true);
    Poco::Net::HTTPClientSession session(socket);
    // Set on the socket itself, since the session sets its timeouts only when
    // it connects by itself.
    socket.setReceiveTimeout(timeout);
    socket.setSendTimeout(timeout);
    session.setKeepAlive(false);
    Poco::Net::HTTPRequest request(call.method, call.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(address.host().toString(), address.port());
    for (const auto& [name, value] : call.headers)
      request.set(name, value);
    if (!call.body.empty() || call.method != "GET") {
      request.setContentType(call.content_type);
      request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    }
    is_sent = true;
    session.sendRequest(request) << call.body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& body = session.receiveResponse(response);
    result.http_status = response.getStatus();
    result.content_type = response.getContentType();
    for (const auto& [name, value] : response)
      result.headers[name] = value;
    const std::streamsize announced =
        response.hasContentLength() ? response.getContentLength() : -1;
    result.status =
        ReadBody(&body, announced, call.max_body_bytes, on_data, &result);
    // A timeout while the stream is read is only recorded in the session.
    if (result.status != http_result::status_type::kCancelled &&
        session.networkException() != nullptr) {
      result.status = http_result::status_type::kIncomplete;
    }
  } catch (const Poco::TimeoutException&) {
    result.status = is_sent ? http_result::status_type::kTimedOut
                            : http_result::status_type::kNotSent;
  } catch (const std::exception&) {
    result.status = is_sent ? http_result::status_type::kIncomplete
                            : http_result::status_type::kNotSent;
  }
  return result;
}

}  // namespace fuchsiafall
