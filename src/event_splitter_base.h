/// @file event_splitter_base.h Whole events out of the bytes of a stream.
#ifndef EVENT_SPLITTER_BASE_H_
#define EVENT_SPLITTER_BASE_H_

#include <string>
#include <string_view>

namespace fuchsiafall {

/// Cuts a stream of server-sent events into whole ones, each with the blank
/// line that ends it.
class event_splitter {
 public:
  void Add(std::string_view bytes) { buffer_ += bytes; }
  /// Takes the next whole event.
  /// @return Whether there was one.
  bool Take(std::string* event) {
    const size_t lf = buffer_.find("\n\n");
    const size_t crlf = buffer_.find("\r\n\r\n");
    if (lf == std::string::npos && crlf == std::string::npos)
      return false;
    const size_t end = crlf < lf ? crlf + 4 : lf + 2;
    event->assign(buffer_, 0, end);
    buffer_.erase(0, end);
    return true;
  }
  /// Bytes of an event that has not ended.
  const std::string& Rest() const { return buffer_; }
  void Clear() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace fuchsiafall

#endif  // EVENT_SPLITTER_BASE_H_
