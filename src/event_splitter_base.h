/// @file event_splitter_base.h Splits a stream into server-sent events.
#ifndef EVENT_SPLITTER_BASE_H_
#define EVENT_SPLITTER_BASE_H_

#include <algorithm>
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
    const std::string_view rest = std::string_view(buffer_).substr(start_);
    // A blank line may have begun in the bytes searched before.
    const size_t from = searched_ - std::min<size_t>(searched_, 3);
    const size_t lf = rest.find("\n\n", from);
    const size_t crlf = rest.substr(0, lf).find("\r\n\r\n", from);
    if (lf == rest.npos && crlf == rest.npos) {
      searched_ = rest.size();
      buffer_.erase(0, start_);
      start_ = 0;
      return false;
    }
    searched_ = 0;
    const size_t end = crlf == rest.npos ? lf + 2 : crlf + 4;
    event->assign(rest.substr(0, end));
    start_ += end;
    return true;
  }
  /// Bytes of an incomplete event.
  std::string_view Incomplete() const {
    return std::string_view(buffer_).substr(start_);
  }
  void Clear() {
    buffer_.clear();
    start_ = 0;
    searched_ = 0;
  }

 private:
  std::string buffer_;
  size_t start_ = 0;     ///< Of the bytes not removed yet.
  size_t searched_ = 0;  ///< Bytes from there that have no blank line.
};

}  // namespace fuchsiafall

#endif  // EVENT_SPLITTER_BASE_H_
