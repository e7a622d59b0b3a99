/// @file http_message.h Incremental parsing of HTTP/1.1 messages: heads and
/// the framing of bodies.
#ifndef NETWORK_HTTP_MESSAGE_H_
#define NETWORK_HTTP_MESSAGE_H_

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "outcome_type.h"

namespace fuchsiafall {

/// How the end of a body is found.
enum class body_framing { kNone, kLength, kChunked, kUntilClose };

/// Progress of a message that is being read.
enum class read_progress { kNeedsMore, kDone, kMalformed };

/// Decodes the body of one message.
class body_reader {
 public:
  void Start(body_framing framing, uint64_t length);
  /// Moves decoded bytes from the front of the input to the output.
  read_progress Read(std::string* input, std::string* output);
  body_framing Framing() const { return framing_; }

 private:
  enum class chunk_stage { kSize, kData, kDataEnd, kTrailer };
  read_progress ReadChunked(std::string* input, std::string* output);

  body_framing framing_ = body_framing::kNone;
  uint64_t remaining_ = 0;  ///< Bytes left of the body, or of the chunk.
  chunk_stage stage_ = chunk_stage::kSize;
  size_t trailer_bytes_ = 0;
  bool is_done_ = true;
};

/// Finds the end of a head in bytes that arrive in pieces, and searches each of
/// them once.
class head_search {
 public:
  /// @param bytes All bytes of the message so far.
  /// @return As FindHeadEnd(). The next search begins anew once it has found.
  size_t Find(std::string_view bytes);
  void Restart() { searched_ = 0; }

 private:
  size_t searched_ = 0;
};

/// Finds the end of a head in the bytes read so far.
/// @return Length of the head with its blank line, or npos.
size_t FindHeadEnd(std::string_view bytes);

/// Whether text can be written as the value of a field: it has no control
/// characters, which include line ends.
bool IsFieldValue(std::string_view text);

/// Parses a request head strictly: refuses what another server could frame
/// differently, against request smuggling. Values of fields are kept byte for
/// byte.
outcome<Poco::Net::HTTPRequest> ParseRequestHead(std::string_view head);
/// Parses the head of an answer. The status has three digits, 100 to 599, and
/// the version is HTTP/1.0 or 1.1; anything else is no answer.
outcome<Poco::Net::HTTPResponse> ParseResponseHead(std::string_view head);

/// Determines the framing of a body, with its length where it is known.
outcome<std::pair<body_framing, uint64_t>> FramingOf(
    const Poco::Net::HTTPRequest& request);
outcome<std::pair<body_framing, uint64_t>> FramingOf(
    const Poco::Net::HTTPResponse& response,
    bool answers_head_request);

/// Removes hop-by-hop headers and Content-Length.
void RemoveConnectionHeaders(Poco::Net::MessageHeader* header);

/// Checks whether the connection is to be closed after a message.
bool RequestsClose(const Poco::Net::HTTPMessage& message);

/// Serializes a head with its blank line. The lines of the result are those of
/// the fields, whatever these contain.
std::string WriteHead(const Poco::Net::HTTPRequest& request);
std::string WriteHead(const Poco::Net::HTTPResponse& response);

/// Frames bytes as one chunk of a chunked body.
std::string WriteChunk(std::string_view bytes);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace fuchsiafall

#endif  // NETWORK_HTTP_MESSAGE_H_
