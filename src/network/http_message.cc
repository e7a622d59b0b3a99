/// @file http_message.cc Incremental parsing of HTTP/1.1 messages.
#include "network/http_message.h"

#include <Poco/String.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>
#include <vector>

namespace fuchsiafall {

namespace {

constexpr size_t kMaxChunkLineBytes = 1024;  // With the extensions of a chunk.
constexpr size_t kMaxTrailerBytes = 16384;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool IsToken(std::string_view text) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || kSymbols.find(c) != kSymbols.npos;
  });
}

bool IsControl(char c) {
  return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
}

std::string_view TrimSpace(std::string_view text) {
  constexpr std::string_view kSpace = " \t";
  const size_t begin = text.find_first_not_of(kSpace);
  if (begin == text.npos)
    return {};
  return text.substr(begin, text.find_last_not_of(kSpace) - begin + 1);
}

/// Reads the lines of a head: no folding, no space before the colon, no control
/// characters, no bare line ends. Values stay as they arrived. Encoded words
/// (RFC 2047) are not decoded, since they can contain line ends.
/// @return The first line.
outcome<std::string_view> ReadLines(std::string_view head,
                                    Poco::Net::MessageHeader* fields) {
  std::string_view first;
  size_t at = 0;
  while (at < head.size()) {
    const size_t end = head.find("\r\n", at);
    if (end == head.npos)
      return failure{"head: line without an end"};
    const std::string_view line = head.substr(at, end - at);
    const bool is_first = at == 0;
    at = end + 2;
    if (line.empty())
      return first;
    if (!IsFieldValue(line))
      return failure{"head: control character"};
    if (is_first) {
      first = line;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == line.npos || !IsToken(line.substr(0, colon)))
      return failure{"head: malformed field line"};
    fields->add(std::string(line.substr(0, colon)),
                std::string(TrimSpace(line.substr(colon + 1))));
  }
  return failure{"head: no blank line"};
}

outcome<uint64_t> ParseNumber(std::string_view text, int base) {
  uint64_t value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc() || end != text.data() + text.size() || text.empty())
    return failure{"not a number: " + std::string(text.substr(0, 32))};
  return value;
}

std::vector<std::string> ValuesOf(const Poco::Net::MessageHeader& header,
                                  const std::string& name) {
  std::vector<std::string> values;
  for (auto it = header.find(name); it != header.end(); ++it) {
    if (Poco::icompare(it->first, name) == 0)
      values.push_back(it->second);
  }
  return values;
}

outcome<std::pair<body_framing, uint64_t>> FramingOfHeader(
    const Poco::Net::MessageHeader& header,
    body_framing default_framing) {
  const auto codings = ValuesOf(header, "Transfer-Encoding");
  const auto lengths = ValuesOf(header, "Content-Length");
  if (!codings.empty()) {
    if (!lengths.empty() || codings.size() > 1 ||
        Poco::icompare(codings.front(), "chunked") != 0) {
      return failure{"ambiguous framing of the body"};
    }
    return std::pair(body_framing::kChunked, uint64_t{0});
  }
  if (lengths.empty())
    return std::pair(default_framing, uint64_t{0});
  if (lengths.size() > 1)
    return failure{"more than one Content-Length"};
  outcome<uint64_t> length = ParseNumber(lengths.front(), 10);
  if (!length)
    return failure{"Content-Length: " + length.LastReason()};
  return std::pair(*length == 0 ? body_framing::kNone : body_framing::kLength,
                   *length);
}

bool IsVersion(std::string_view text) {
  return text == Poco::Net::HTTPMessage::HTTP_1_1 ||
         text == Poco::Net::HTTPMessage::HTTP_1_0;
}

/// Splits a line at the first space.
std::pair<std::string_view, std::string_view> SplitWord(std::string_view line) {
  const size_t at = line.find(' ');
  if (at == line.npos)
    return {line, {}};
  return {line.substr(0, at), line.substr(at + 1)};
}

/// Appends text of a head. Values that do not come from a parsed head may
/// contain control characters, which are replaced as RFC 9110 (5.5) allows.
void AppendText(std::string_view text, std::string* head) {
  const size_t at = head->size();
  head->append(text);
  std::replace_if(head->begin() + static_cast<ptrdiff_t>(at), head->end(),
                  IsControl, ' ');
}

void AppendFields(const Poco::Net::MessageHeader& fields, std::string* head) {
  for (const auto& [name, value] : fields) {
    AppendText(name, head);
    *head += ": ";
    AppendText(value, head);
    *head += "\r\n";
  }
  *head += "\r\n";
}

}  // namespace

void body_reader::Start(body_framing framing, uint64_t length) {
  framing_ = framing;
  remaining_ = length;
  stage_ = chunk_stage::kSize;
  trailer_bytes_ = 0;
  is_done_ = framing == body_framing::kNone;
}

read_progress body_reader::Read(std::string* input, std::string* output) {
  switch (framing_) {
    case body_framing::kNone:
      return read_progress::kDone;
    case body_framing::kUntilClose:
      output->append(*input);
      input->clear();
      return read_progress::kNeedsMore;
    case body_framing::kChunked:
      return ReadChunked(input, output);
    case body_framing::kLength:
      break;
  }
  const size_t count =
      static_cast<size_t>(std::min<uint64_t>(remaining_, input->size()));
  output->append(*input, 0, count);
  input->erase(0, count);
  remaining_ -= count;
  is_done_ = remaining_ == 0;
  return is_done_ ? read_progress::kDone : read_progress::kNeedsMore;
}

read_progress body_reader::ReadChunked(std::string* input,
                                       std::string* output) {
  size_t at = 0;
  read_progress progress = read_progress::kNeedsMore;
  while (!is_done_) {
    if (stage_ == chunk_stage::kData) {
      const size_t count = static_cast<size_t>(
          std::min<uint64_t>(remaining_, input->size() - at));
      output->append(*input, at, count);
      at += count;
      remaining_ -= count;
      if (remaining_ > 0)
        break;
      stage_ = chunk_stage::kDataEnd;
      continue;
    }
    const size_t end = input->find("\r\n", at);
    if (end == std::string::npos) {
      if (input->size() - at > kMaxChunkLineBytes)
        progress = read_progress::kMalformed;
      break;
    }
    std::string_view line(input->data() + at, end - at);
    at = end + 2;
    if (stage_ == chunk_stage::kDataEnd) {
      if (!line.empty()) {
        progress = read_progress::kMalformed;
        break;
      }
      stage_ = chunk_stage::kSize;
    } else if (stage_ == chunk_stage::kSize) {
      outcome<uint64_t> size = ParseNumber(line.substr(0, line.find(';')), 16);
      if (!size) {
        progress = read_progress::kMalformed;
        break;
      }
      remaining_ = *size;
      stage_ = *size == 0 ? chunk_stage::kTrailer : chunk_stage::kData;
    } else if (line.empty()) {
      is_done_ = true;
      progress = read_progress::kDone;
    } else {
      trailer_bytes_ += line.size();
      if (trailer_bytes_ > kMaxTrailerBytes) {
        progress = read_progress::kMalformed;
        break;
      }
    }
  }
  input->erase(0, at);
  return progress;
}

size_t FindHeadEnd(std::string_view bytes) {
  return head_search().Find(bytes);
}

size_t head_search::Find(std::string_view bytes) {
  // The end may have begun in the bytes searched before.
  const size_t from = searched_ - std::min(searched_, kHeadEnd.size() - 1);
  const size_t at = bytes.find(kHeadEnd, from);
  searched_ = at == bytes.npos ? bytes.size() : 0;
  return at == bytes.npos ? at : at + kHeadEnd.size();
}

bool IsFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), IsControl);
}

outcome<Poco::Net::HTTPRequest> ParseRequestHead(std::string_view head) {
  Poco::Net::HTTPRequest request;
  const auto first = ReadLines(head, &request);
  if (!first)
    return failure{first.LastReason()};
  const auto [method, rest] = SplitWord(*first);
  const auto [target, version] = SplitWord(rest);
  if (!IsToken(method) || !target.starts_with('/') ||
      target.find('\t') != target.npos) {
    return failure{"head: malformed request line"};
  }
  if (!IsVersion(version))
    return failure{"head: unknown version of HTTP"};
  if (ValuesOf(request, "Host").size() > 1)
    return failure{"head: more than one Host"};
  request.setMethod(std::string(method));
  request.setURI(std::string(target));
  request.setVersion(std::string(version));
  return request;
}

outcome<Poco::Net::HTTPResponse> ParseResponseHead(std::string_view head) {
  constexpr size_t kStatusDigits = 3;
  Poco::Net::HTTPResponse response;
  const auto first = ReadLines(head, &response);
  if (!first)
    return failure{first.LastReason()};
  const auto [version, rest] = SplitWord(*first);
  // Some servers leave out the reason and the space before it.
  const auto [digits, reason] = SplitWord(rest);
  const auto status = ParseNumber(digits, 10);
  if (!IsVersion(version) || digits.size() != kStatusDigits || !status ||
      *status < 100 || *status > 599) {
    return failure{"head: malformed status line"};
  }
  response.setVersion(std::string(version));
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(*status));
  response.setReason(std::string(reason));
  return response;
}

outcome<std::pair<body_framing, uint64_t>> FramingOf(
    const Poco::Net::HTTPRequest& request) {
  return FramingOfHeader(request, body_framing::kNone);
}

outcome<std::pair<body_framing, uint64_t>> FramingOf(
    const Poco::Net::HTTPResponse& response,
    bool answers_head_request) {
  const int status = response.getStatus();
  if (answers_head_request || status / 100 == 1 || status == 204 ||
      status == 304) {
    return std::pair(body_framing::kNone, uint64_t{0});
  }
  return FramingOfHeader(response, body_framing::kUntilClose);
}

void RemoveConnectionHeaders(Poco::Net::MessageHeader* header) {
  std::set<std::string> removed = {
      "connection",        "keep-alive",     "proxy-connection",
      "transfer-encoding", "content-length", "te",
      "trailer",           "upgrade",        "expect"};
  for (const std::string& value : ValuesOf(*header, "Connection")) {
    std::istringstream names(value);
    std::string name;
    while (std::getline(names, name, ','))
      removed.insert(Poco::toLower(Poco::trim(name)));
  }
  Poco::Net::NameValueCollection kept;
  for (const auto& [name, value] : *header) {
    if (!removed.contains(Poco::toLower(name)))
      kept.add(name, value);
  }
  static_cast<Poco::Net::NameValueCollection&>(*header) = std::move(kept);
}

bool RequestsClose(const Poco::Net::HTTPMessage& message) {
  for (const std::string& value : ValuesOf(message, "Connection")) {
    if (Poco::toLower(value).find("close") != std::string::npos)
      return true;
  }
  return message.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
}

std::string WriteHead(const Poco::Net::HTTPRequest& request) {
  std::string text;
  text.reserve(512);
  AppendText(request.getMethod() + " " + request.getURI(), &text);
  text += " HTTP/1.1\r\n";
  AppendFields(request, &text);
  return text;
}

std::string WriteHead(const Poco::Net::HTTPResponse& response) {
  std::string text;
  text.reserve(512);
  text += "HTTP/1.1 " + std::to_string(response.getStatus()) + " ";
  AppendText(response.getReason(), &text);
  text += "\r\n";
  AppendFields(response, &text);
  return text;
}

std::string WriteChunk(std::string_view bytes) {
  char size[20];
  auto [end, error] =
      std::to_chars(size, size + sizeof(size), bytes.size(), 16);
  std::string text(size, end);
  text += "\r\n";
  text += bytes;
  return text + "\r\n";
}

}  // namespace fuchsiafall
