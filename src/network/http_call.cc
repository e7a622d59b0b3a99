/// @file http_call.cc Blocking HTTP calls.
#include "network/http_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

#include "network/http_message.h"

namespace fuchsiafall {

namespace {

using status_type = http_result::status_type;

constexpr size_t kReadBytes = 64 * 1024;
constexpr size_t kMaxHeadBytes = 64 * 1024;  // With those of interim answers.
/// Minimum mean rate of an answer whose duration is limited.
constexpr double kMinBytesPerSecond = 16384;
/// Interval of the checks whether a call that waits for data is cancelled.
constexpr milliseconds kCancelInterval{100};

Poco::Timespan ToTimespan(duration span) {
  return {std::max<int64_t>(0, ToMs(span)) * Poco::Timespan::MILLISECONDS};
}

std::string EncodeRequest(const http_call& call,
                          const Poco::Net::SocketAddress& address) {
  Poco::Net::HTTPRequest request(call.method, call.path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(address.host().toString(), address.port());
  request.setKeepAlive(false);
  for (const auto& [name, value] : call.headers)
    request.set(name, value);
  if (!call.body.empty() || call.method != "GET") {
    request.setContentType(call.content_type);
    request.setContentLength(static_cast<std::streamsize>(call.body.size()));
  }
  return WriteHead(request) + call.body;
}

/// Reads one answer from a socket. Exceptions of the socket pass through.
class answer_reader {
 public:
  answer_reader(Poco::Net::StreamSocket* socket,
                const http_call& call,
                const body_hook& on_data,
                http_result* result)
      : socket_(socket),
        call_(call),
        on_data_(on_data),
        result_(result),
        begun_at_(std::chrono::steady_clock::now()) {}

  /// @return None while the end of the head has not arrived.
  std::optional<Poco::Net::HTTPResponse> ReadHead() {
    size_t read_bytes = 0;
    while (true) {
      const size_t end = FindHeadEnd(input_);
      if (read_bytes + std::min(end, input_.size()) > kMaxHeadBytes)
        return std::nullopt;
      if (end == std::string::npos) {
        if (!Receive())
          return std::nullopt;
        continue;
      }
      auto head = ParseResponseHead(std::string_view(input_).substr(0, end));
      input_.erase(0, end);
      read_bytes += end;
      if (!head)
        return std::nullopt;
      if (head->getStatus() / 100 != 1)
        return *head;
    }
  }

  status_type ReadBody(const Poco::Net::HTTPResponse& head) {
    auto framing = FramingOf(head, call_.method == "HEAD");
    if (!framing)
      return status_type::kIncomplete;
    body_reader reader;
    reader.Start(framing->first, framing->second);
    uint64_t length = 0;
    while (true) {
      std::string data;
      const read_progress progress = reader.Read(&input_, &data);
      length += data.size();
      if (progress == read_progress::kMalformed ||
          length > call_.max_body_bytes)
        return status_type::kIncomplete;
      if (!data.empty() && !on_data_)
        result_->body += data;
      if (!data.empty() && on_data_ && !on_data_(*result_, data))
        return status_type::kCancelled;
      if (progress == read_progress::kDone)
        return status_type::kAnswered;
      if (!Receive()) {
        return framing->first == body_framing::kUntilClose
                   ? status_type::kAnswered
                   : status_type::kIncomplete;
      }
    }
  }

 private:
  /// Returns when to give up waiting for data.
  time_point WaitEnd(time_point now) const {
    const time_point silent_at = now + call_.timeout;
    if (call_.max_duration.count() == 0)
      return silent_at;
    const auto allowed =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            static_cast<double>(received_bytes_) / kMinBytesPerSecond));
    return std::min<time_point>(silent_at,
                                begun_at_ + call_.max_duration + allowed);
  }

  /// Waits for data. Throws if none arrives in time or the call is cancelled.
  void WaitForData() {
    time_point now = std::chrono::steady_clock::now();
    const time_point ends_at = WaitEnd(now);
    while (now < ends_at) {
      if (call_.is_cancelled && call_.is_cancelled())
        throw Poco::TimeoutException("cancelled");
      const duration wait = std::min<duration>(ends_at - now, kCancelInterval);
      if (socket_->poll(ToTimespan(std::max<duration>(wait, milliseconds(1))),
                        Poco::Net::Socket::SELECT_READ))
        return;
      now = std::chrono::steady_clock::now();
    }
    throw Poco::TimeoutException();
  }

  /// @return Whether bytes have arrived; if not, the server has closed.
  bool Receive() {
    WaitForData();
    buffer_.resize(kReadBytes);
    const int count =
        socket_->receiveBytes(buffer_.data(), static_cast<int>(kReadBytes));
    if (count <= 0)
      return false;
    received_bytes_ += static_cast<size_t>(count);
    input_.append(buffer_.data(), static_cast<size_t>(count));
    return true;
  }

  Poco::Net::StreamSocket* socket_;
  const http_call& call_;
  const body_hook& on_data_;
  http_result* result_;
  time_point begun_at_;
  uint64_t received_bytes_ = 0;
  std::string input_;
  std::vector<char> buffer_;
};

}  // namespace

http_result CallHttp(const http_call& call, const body_hook& on_data) {
  http_result result;
  bool is_sent = false;
  bool has_head = false;
  try {
    const Poco::Net::SocketAddress address(call.address);
    const Poco::Timespan timeout(call.timeout.count() *
                                 Poco::Timespan::MILLISECONDS);
    Poco::Net::StreamSocket socket;
    socket.connect(address, timeout);
    socket.setNoDelay(true);
    socket.setReceiveTimeout(timeout);
    socket.setSendTimeout(timeout);
    const std::string request = EncodeRequest(call, address);
    is_sent = true;
    for (size_t sent = 0; sent < request.size();) {
      sent += static_cast<size_t>(socket.sendBytes(
          request.data() + sent, static_cast<int>(request.size() - sent)));
    }
    answer_reader reader(&socket, call, on_data, &result);
    const auto head = reader.ReadHead();
    result.status = status_type::kIncomplete;
    if (!head)
      return result;
    has_head = true;
    result.http_status = head->getStatus();
    result.content_type = head->getContentType();
    for (const auto& [name, value] : *head)
      result.headers[name] = value;
    result.status = reader.ReadBody(*head);
  } catch (const Poco::TimeoutException&) {
    const bool is_cancelled = call.is_cancelled && call.is_cancelled();
    result.status = !is_sent       ? status_type::kNotSent
                    : is_cancelled ? status_type::kCancelled
                    : has_head     ? status_type::kIncomplete
                                   : status_type::kTimedOut;
  } catch (const std::exception&) {
    result.status = is_sent ? status_type::kIncomplete : status_type::kNotSent;
  }
  return result;
}

}  // namespace fuchsiafall
