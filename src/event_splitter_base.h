/// @file event_splitter_base.h Splits a stream into server-sent events.
#ifndef EVENT_SPLITTER_BASE_H_
#define EVENT_SPLITTER_BASE_H_

#include <string>
#include <string_view>

namespace fuchsiafall {

/// Splits a byte stream into complete server-sent events, each including its
/// terminating blank line.
class event_splitter {
 public:
  void Add(std::string_view bytes) { buffer_ += bytes; }
  /// Removes the next complete event from the buffer.
  /// @return Whether there was one.
  bool Next(std::string* event) {
    const size_t lf = buffer_.find("\n\n");
    const size_t crlf = buffer_.find("\r\n\r\n");
    if (lf == std::string::npos && crlf == std::string::npos)
      return false;
    const size_t end = crlf < lf ? crlf + 4 : lf + 2;
    event->assign(buffer_, 0, end);
    buffer_.erase(0, end);
    return true;
  }
  /// Bytes of an incomplete event.
  const std::string& Incomplete() const { return buffer_; }
  void Clear() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace fuchsiafall

#endif  // EVENT_SPLITTER_BASE_H_
