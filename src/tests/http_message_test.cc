/// @file http_message_test.cc Tests that a head is written as it was read, and
/// that what is no valid head is refused.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "network/http_message.h"
#include "platform/headers.h"

namespace fuchsiafall::tests {

namespace {

/// Value of a field that decodes to the end of its head and a second message.
constexpr char kEncodedMessage[] =
    "=?UTF-8?Q?x=0D=0AContent-Length:_0=0D=0A=0D=0APOST_/p_HTTP/1.1=0D=0A"
    "Tenant:_other?=";

size_t CountLines(const std::string& text) {
  size_t count = 0;
  for (size_t at = 0; (at = text.find("\r\n", at)) != text.npos; at += 2)
    ++count;
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_message_suite)

// A request hidden in an encoded word (RFC 2047) ran for another organisation.
BOOST_AUTO_TEST_CASE(an_encoded_word_smuggles_no_request) {
  const std::string note = "X-Note: " + std::string(kEncodedMessage) + "\r\n";
  const auto head =
      ParseRequestHead("POST /p HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n" +
                       note + "Content-Length: 4\r\n\r\n");
  BOOST_REQUIRE(head);
  const std::string sent = WriteHead(
      platform::EncodeAttempt(*head, {.instance = "i", .tenant = "acme"}));
  BOOST_TEST(sent.find(note) != sent.npos);
  BOOST_TEST(FindHeadEnd(sent) == sent.size());
  BOOST_TEST(sent.find("Tenant: other") == sent.npos);
}

// An encoded blank line in a server's answer ended the head for the caller.
BOOST_AUTO_TEST_CASE(an_encoded_word_does_not_end_the_head_of_an_answer) {
  const std::string note = "X-Note: " + std::string(kEncodedMessage) + "\r\n";
  const auto head = ParseResponseHead("HTTP/1.1 200 OK\r\n" + note +
                                      "Content-Length: 4\r\n\r\n");
  BOOST_REQUIRE(head);
  const std::string sent = WriteHead(*head);
  BOOST_TEST(sent.find(note) != sent.npos);
  BOOST_TEST(FindHeadEnd(sent) == sent.size());
}

// The body was framed by a decoded value that the next server reads otherwise.
BOOST_AUTO_TEST_CASE(an_encoded_word_does_not_frame_a_body) {
  const auto head = ParseRequestHead(
      "POST /p HTTP/1.1\r\nHost: h\r\n"
      "Transfer-Encoding: =?UTF-8?Q?chunked?=\r\n\r\n");
  BOOST_TEST((!head || !FramingOf(*head)));
}

// Heads within the limit of their bytes were refused for one long value or for
// many fields.
BOOST_AUTO_TEST_CASE(only_the_limit_of_bytes_bounds_a_head) {
  const std::string start = "GET /p HTTP/1.1\r\nHost: h\r\n";
  const std::string value(12000, 'v');
  const auto long_value = ParseRequestHead(start + "X: " + value + "\r\n\r\n");
  BOOST_REQUIRE(long_value);
  BOOST_TEST(long_value->get("X") == value);
  std::string fields;
  for (int i = 0; i < 500; ++i)
    fields += "X-" + std::to_string(i) + ": 1\r\n";
  const auto many_fields = ParseRequestHead(start + fields + "\r\n");
  BOOST_REQUIRE(many_fields);
  BOOST_TEST(many_fields->size() == 501u);
}

// Names of the operators' documents become values of headers.
BOOST_AUTO_TEST_CASE(text_that_has_line_ends_adds_no_line_to_a_head) {
  Poco::Net::HTTPRequest request("GET", "/p", "HTTP/1.1");
  request.set("Tenant", "a\r\n\r\nGET /q HTTP/1.1\r\nX: y");
  const std::string sent = WriteHead(request);
  BOOST_TEST(CountLines(sent) == 3u);
  BOOST_TEST(FindHeadEnd(sent) == sent.size());
  Poco::Net::HTTPResponse answer(Poco::Net::HTTPResponse::HTTP_OK, "O\r\nX: y");
  BOOST_TEST(CountLines(WriteHead(answer)) == 2u);
}

// "HTTP/1.1 20 OK" of a faulty server was passed on to the caller.
BOOST_AUTO_TEST_CASE(a_line_without_a_valid_status_begins_no_answer) {
  for (const char* line :
       {"HTTP/1.1 20 OK", "HTTP/1.1 000 OK", "HTTP/1.0 000", "HTTP/1.1 0 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 099 X", "HTTP/1.1 600 X",
        "HTTP/1.1 +20 X", "HTTP/1.1 -20 X", "HTTP/1.1 2x0 X",
        "HTTP/1.1  200 OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.2 200 OK",
        "HTTP/2 200 OK", "HTP/1.1 200 OK", " HTTP/1.1 200 OK", "200 OK", ""}) {
    BOOST_TEST(!ParseResponseHead(std::string(line) + "\r\n\r\n"), line);
  }
  for (const char* line : {"HTTP/1.1 200 OK", "HTTP/1.0 404 Not Found",
                           "HTTP/1.1 599 ", "HTTP/1.1 100"}) {
    BOOST_TEST(!!ParseResponseHead(std::string(line) + "\r\n\r\n"), line);
  }
  const auto head = ParseResponseHead("HTTP/1.1 503 Try  again\r\n\r\n");
  BOOST_REQUIRE(head);
  BOOST_TEST(WriteHead(*head) == "HTTP/1.1 503 Try  again\r\n\r\n");
}

// The request line was split at other white space than a server may split it.
BOOST_AUTO_TEST_CASE(a_request_line_of_other_than_three_words_is_refused) {
  for (const char* line :
       {"GET  /p HTTP/1.1", "GET /p  HTTP/1.1", "GET /p q HTTP/1.1",
        "GET /p\tq HTTP/1.1", "GET /p HTTP/1.1 ", "GET /p", "G(T /p HTTP/1.1",
        "GET p HTTP/1.1", "GET /p HTTP/1.10"}) {
    BOOST_TEST(!ParseRequestHead(std::string(line) + "\r\nHost: h\r\n\r\n"),
               line);
  }
}

// Each piece of a head made all of it be searched again.
BOOST_AUTO_TEST_CASE(an_end_between_two_pieces_of_a_head_is_missed) {
  const std::string head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  for (size_t step = 1; step < head.size(); ++step) {
    head_search search;
    size_t found = head.npos;
    for (size_t length = 0; length < head.size() && found == head.npos;) {
      length = std::min(length + step, head.size());
      found = search.Find(std::string_view(head).substr(0, length));
    }
    BOOST_TEST(found == head.size());
  }
}

// A trailer went on for as long as the body might.
BOOST_AUTO_TEST_CASE(a_trailer_without_end_is_read_on) {
  body_reader reader;
  reader.Start(body_framing::kChunked, 0);
  std::string body;
  std::string input = "0\r\n";
  read_progress progress = reader.Read(&input, &body);
  size_t lines = 0;
  while (progress == read_progress::kNeedsMore && lines < 1000) {
    ++lines;
    input = "X: " + std::string(100, 'x') + "\r\n";
    progress = reader.Read(&input, &body);
  }
  BOOST_TEST((progress == read_progress::kMalformed));
  BOOST_TEST(lines < 200u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
