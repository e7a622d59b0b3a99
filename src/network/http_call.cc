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

constexpr size_t kPieceBytes = 64 * 1024;

/// Reads what has arrived, waiting for one byte at least.
std::string ReadPiece(std::istream* body, std::vector<char>* buffer) {
  int first = body->get();
  if (first == std::char_traits<char>::eof())
    return "";
  std::string piece(1, static_cast<char>(first));
  std::streamsize more =
      body->readsome(buffer->data(), static_cast<std::streamsize>(kPieceBytes));
  if (more > 0)
    piece.append(buffer->data(), static_cast<size_t>(more));
  return piece;
}

/// Reads the whole body and checks its length where one was announced.
http_result::status_type ReadBody(std::istream* body,
                                  std::streamsize announced,
                                  const body_hook& on_piece,
                                  http_result* result) {
  std::vector<char> buffer(kPieceBytes);
  std::streamsize length = 0;
  for (std::string piece = ReadPiece(body, &buffer); !piece.empty();
       piece = ReadPiece(body, &buffer)) {
    length += static_cast<std::streamsize>(piece.size());
    if (!on_piece) {
      result->body += piece;
    } else if (!on_piece(*result, piece)) {
      return http_result::status_type::kStopped;
    }
  }
  bool is_short = announced >= 0 && length != announced;
  return is_short ? http_result::status_type::kBrokenOff
                  : http_result::status_type::kAnswered;
}

}  // namespace

http_result CallHttp(const http_call& call, const body_hook& on_piece) {
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
    // Set on the socket itself, since the session only sets it when it
    // connects.
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
    result.status = ReadBody(&body, announced, on_piece, &result);
    // A read that times out inside the stream leaves its cause on the session.
    if (result.status != http_result::status_type::kStopped &&
        session.networkException() != nullptr) {
      result.status = http_result::status_type::kBrokenOff;
    }
  } catch (const Poco::TimeoutException&) {
    result.status = is_sent ? http_result::status_type::kTimedOut
                            : http_result::status_type::kNotSent;
  } catch (const std::exception&) {
    result.status = is_sent ? http_result::status_type::kBrokenOff
                            : http_result::status_type::kNotSent;
  }
  return result;
}

}  // namespace fuchsiafall
