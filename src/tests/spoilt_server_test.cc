/// @file spoilt_server_test.cc A hosted entry, as a real process, before
/// servers that break off streams or send bytes that are no events.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>

#include "network/http_call.h"
#include "network/http_message.h"
#include "network/tcp_connection.h"
#include "tests/entry_process.h"
#include "tests/spoilt_stream.h"

namespace fuchsiafall::tests {

namespace {

constexpr uint64_t kStreams = 120;
constexpr int kFaultyResponses = 3;  // At most, for a stream.
constexpr milliseconds kSplitTime{2};

/// Returns the stream of a path that ends with its seed.
drawn_stream StreamOf(const std::string& path) {
  std::mt19937_64 random(std::stoull(path.substr(path.rfind('/') + 1)));
  return drawn_stream(&random);
}

std::string ChunkOf(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return bytes.empty() ? "" : size.str() + "\r\n" + bytes + "\r\n";
}

/// Server whose answers are sound or drawn with faults.
class spoilt_server {
 public:
  spoilt_server(event_loop* loop, uint64_t seed, std::atomic<bool>* is_sound)
      : loop_(loop),
        is_sound_(is_sound),
        random_(seed),
        listener_(loop,
                  [this](time_point, const Poco::Net::StreamSocket& from) {
                    Accept(from);
                  }) {}
  outcome<done> Listen(const std::string& address) {
    return listener_.Listen(address);
  }

 private:
  void Accept(const Poco::Net::StreamSocket& from) {
    auto made = tcp_connection::Adopt(loop_, from, {});
    tcp_connection* raw = made.get();
    made->SetHooks(
        {.on_bytes =
             [this, raw, from](time_point now, std::string* input) {
               const size_t end = FindHeadEnd(*input);
               if (end == std::string::npos)
                 return;
               const auto head =
                   ParseRequestHead(std::string_view(*input).substr(0, end));
               input->clear();
               Answer(now, connections_.at(raw), from, *head);
             },
         .on_closed = [this, raw](time_point, close_cause) { Forget(raw); }});
    connections_[raw] = made;
  }

  void Answer(time_point now,
              const std::shared_ptr<tcp_connection>& to,
              const Poco::Net::StreamSocket& socket,
              const Poco::Net::HTTPRequest& head) {
    std::optional<uint64_t> after;
    if (head.has("Last-Event-Id"))
      after = std::stoull(head.get("Last-Event-Id"));
    const std::string text = StreamOf(head.getURI()).TextAfter(after);
    const bool is_sound = *is_sound_ || random_() % 2 == 0;
    const drawn_answer answer = is_sound
                                    ? drawn_stream::DrawSound(text, &random_)
                                    : drawn_stream::DrawFaulty(text, &random_);
    const bool is_early = answer.close != answer_close::kWhole;
    const std::string start =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Connection: close\r\nResponse-Seal: 1.2.3\r\nRequest-Id: " +
        head.get("Request-Id", "") + "\r\n";
    const size_t split = random_() % (answer.body.size() + 1);
    std::string first = answer.body.substr(0, split);
    std::string second = answer.body.substr(split);
    switch (answer.framing) {
      case answer_framing::kLength:
        to->Send(start + "Content-Length: " +
                 std::to_string(answer.body.size() + (is_early ? 9 : 0)) +
                 "\r\n\r\n" + first);
        break;
      case answer_framing::kChunks:
        to->Send(start + "Transfer-Encoding: chunked\r\n\r\n" + ChunkOf(first));
        second = ChunkOf(second) + (is_early ? "" : "0\r\n\r\n");
        break;
      case answer_framing::kUntilClose:
        to->Send(start + "\r\n" + first);
        break;
    }
    loop_->StartTimer(now + kSplitTime,
                      [this, to, socket = Poco::Net::StreamSocket(socket),
                       second, close = answer.close](time_point) mutable {
                        if (!to->IsOpen())
                          return;
                        to->Send(second);
                        if (close == answer_close::kReset)
                          socket.setLinger(true, 0);
                        to->Close();
                        Forget(to.get());
                      });
  }

  void Forget(tcp_connection* connection) { connections_.erase(connection); }

  event_loop* loop_;
  std::atomic<bool>* is_sound_;
  std::mt19937_64 random_;
  tcp_listener listener_;
  std::map<tcp_connection*, std::shared_ptr<tcp_connection>> connections_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(spoilt_server_suite)

BOOST_AUTO_TEST_CASE(spoilt_answers_add_to_a_stream_or_leave_it_without_end) {
  entry_process entry({.name = "spoilt-server-test",
                       .network = "127.43.0",
                       .route_kind = "streaming",
                       .attempts = 3,
                       .is_resumable = true,
                       .settings = "Bounds.RetryBudgetExtra=20000\n"});
  std::atomic<bool> is_sound{false};
  spoilt_server first(&entry.Loop(), 1, &is_sound);
  spoilt_server second(&entry.Loop(), 2, &is_sound);
  spoilt_server third(&entry.Loop(), 3, &is_sound);
  int number = 0;
  for (spoilt_server* server : {&first, &second, &third}) {
    BOOST_REQUIRE(server->Listen(entry.AddressOfServer(++number)));
    entry.AddServer(number);
  }
  entry.Start();
  int complete_at_faulty = 0;
  for (uint64_t seed = 1; seed <= kStreams; ++seed) {
    const std::string path = "/s/" + std::to_string(seed);
    std::string text;
    bool is_complete = false;
    for (int i = 0; i <= kFaultyResponses && !is_complete; ++i) {
      is_sound = i == kFaultyResponses;
      http_call call{.address = entry.Address(), .path = path};
      call.headers = {
          {"Host", "desk.example"},
          {"Request-Id", std::to_string(seed) + "-" + std::to_string(i)}};
      if (const auto last_event = LastIdOf(text))
        call.headers["Last-Event-Id"] = std::to_string(*last_event);
      const http_result result = CallHttp(call);
      if (result.http_status != 200)
        continue;
      text += result.body;
      is_complete = result.status == http_result::status_type::kAnswered;
      complete_at_faulty += is_complete && !is_sound ? 1 : 0;
      BOOST_TEST(IsPrefixInEvents(text, StreamOf(path).TextAfter({})));
    }
    BOOST_TEST(is_complete, path);
    BOOST_TEST(text == StreamOf(path).TextAfter({}));
  }
  BOOST_TEST(complete_at_faulty > static_cast<int>(kStreams) / 4);
  entry.Stop();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
