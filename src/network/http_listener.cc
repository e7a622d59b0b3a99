/// @file http_listener.cc HTTP server on an event loop.
#include "network/http_listener.h"

#include <algorithm>
#include <utility>

#include "network/http_status.h"

namespace fuchsiafall {

namespace {

/// Maximum time that a caller's request may be in transit: a round trip to a
/// mobile phone.
constexpr milliseconds kCloseDelay{300};
constexpr size_t kMaxLingering = 256;  // Connections, to bound descriptors.
/// Time after which a request that found no memory may be repeated.
constexpr char kRetryAfterS[] = "1";

}  // namespace

std::string_view TextOf(listener_close why) {
  switch (why) {
    case listener_close::kIdleTimeout:
      return "idle";
    case listener_close::kStopping:
      return "stopping";
  }
  return "";
}

caller_limits LargerOf(const caller_limits& one, const caller_limits& other) {
  return {.header_bytes = std::max(one.header_bytes, other.header_bytes),
          .body_bytes = std::max(one.body_bytes, other.body_bytes),
          .header_timeout = std::max(one.header_timeout, other.header_timeout),
          .idle_timeout = std::max(one.idle_timeout, other.idle_timeout)};
}

Poco::Net::HTTPResponse MakeAnswerHead(int status) {
  Poco::Net::HTTPResponse head;
  head.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  return head;
}

http_server_connection::http_server_connection(
    uint64_t id,
    std::shared_ptr<tcp_connection> connection,
    const caller_limits* newest_limits,
    const http_listener_hooks* hooks,
    time_point now)
    : connection_(std::move(connection)),
      newest_limits_(newest_limits),
      limits_(*newest_limits),
      hooks_(hooks),
      id_(id),
      timeout_start_(now) {}

void http_server_connection::RegisterHooks() {
  connection_->SetHooks(
      {.on_bytes = [this](time_point now, std::string*) { OnBytes(now); },
       .on_closed = [this](time_point now, close_cause) { OnClosed(now); }});
}

void http_server_connection::OnBytes(time_point now) {
  // An answer sent by a hook leaves pipelined requests to the loop below it, so
  // that their number does not add to the stack.
  if (is_reading_)
    return;
  is_reading_ = true;
  ReadRequests(now);
  is_reading_ = false;
}

void http_server_connection::ReadRequests(time_point now) {
  auto self = shared_from_this();
  std::string* input = connection_->Input();
  while (connection_->IsOpen()) {
    if (stage_ == stage::kAnswering) {
      // Pipelined requests wait until the current one is answered.
      if (input->size() > limits_.header_bytes)
        connection_->SetReading(false);
      return;
    }
    if (stage_ == stage::kHead && !ReadHead(now))
      return;
    const read_progress progress = body_.Read(input, &request_.body);
    UpdateShare();
    if (progress == read_progress::kMalformed) {
      Refuse(now, 400, "malformed body");
      return;
    }
    if (request_.body.size() > limits_.body_bytes) {
      Refuse(now, 413, "body over the limit");
      return;
    }
    if (progress == read_progress::kNeedsMore)
      return;
    stage_ = stage::kAnswering;
    is_answer_pending_ = true;
    // An answer that the hook sends at once begins the next request.
    hooks_->on_request(now, self, std::exchange(request_, {}));
  }
}

void http_server_connection::UpdateShare() {
  if (request_.body.empty() || connection_->Budget() == nullptr)
    return;
  if (request_.share == nullptr) {
    event_loop* loop = connection_->Loop();
    request_.share = std::make_shared<buffer_share>(
        connection_->Budget(),
        [loop, weak = weak_from_this(), number = request_number_] {
          loop->PostBeforeNextSocket([weak, number] {
            if (auto self = weak.lock())
              self->OnOverBudget(BootNow(), number);
          });
        });
  }
  request_.share->Set(request_.body.capacity());
}

void http_server_connection::OnOverBudget(time_point now,
                                          uint64_t request_number) {
  if (request_number != request_number_ || !IsOpen())
    return;
  if (stage_ == stage::kBody) {
    // An assignment would keep the memory of the body.
    const http_request dropped = std::exchange(request_, {});
    Refuse(now, kHttpUnavailable, "no memory for the body");
  } else if (is_answer_pending_ && hooks_->on_over_budget) {
    hooks_->on_over_budget(now, this);
  }
}

bool http_server_connection::ReadHead(time_point now) {
  std::string* input = connection_->Input();
  // Empty lines before a request are allowed.
  size_t blank = 0;
  while (input->compare(blank, 2, "\r\n") == 0)
    blank += 2;
  if (blank > 0) {
    input->erase(0, blank);
    head_search_.Restart();
    blank_bytes_ += blank;
  }
  if (blank_bytes_ > limits_.header_bytes) {
    Refuse(now, 400, "too many empty lines");
    return false;
  }
  if (input->empty())
    return false;
  if (!has_head_bytes_) {
    has_head_bytes_ = true;
    timeout_start_ = now;
  }
  const size_t end = head_search_.Find(*input);
  if (std::min(end, input->size()) > limits_.header_bytes) {
    Refuse(now, 431, "head over the limit");
    return false;
  }
  if (end == std::string::npos)
    return false;
  auto head = ParseRequestHead(std::string_view(*input).substr(0, end));
  if (!head) {
    Refuse(now, 400, head.LastReason());
    return false;
  }
  auto framing = FramingOf(*head);
  if (!framing) {
    Refuse(now, 400, framing.LastReason());
    return false;
  }
  if (framing->first == body_framing::kLength &&
      framing->second > limits_.body_bytes) {
    Refuse(now, 413, "body over the limit");
    return false;
  }
  input->erase(0, end);
  if (head->get("Expect", "") == "100-continue")
    connection_->Send("HTTP/1.1 100 Continue\r\n\r\n");
  close_after_answer_ = close_after_answer_ || RequestsClose(*head);
  body_.Start(framing->first, framing->second);
  is_head_request_ = head->getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
  ++request_number_;
  blank_bytes_ = 0;
  request_.head = *head;
  request_.body.clear();
  request_.first_byte_at = timeout_start_;
  stage_ = stage::kBody;
  return true;
}

void http_server_connection::OnClosed(time_point now) {
  auto self = shared_from_this();
  if (is_answer_pending_) {
    is_answer_pending_ = false;
    hooks_->on_disconnected(now, this);
  }
}

void http_server_connection::Refuse(time_point now,
                                    int status,
                                    const std::string& why) {
  if (hooks_->on_refused)
    hooks_->on_refused(now, status, why);
  close_after_answer_ = true;
  is_answer_pending_ = true;
  stage_ = stage::kAnswering;
  auto head = MakeAnswerHead(status);
  if (status == kHttpUnavailable)
    head.set("Retry-After", kRetryAfterS);
  Answer(now, head, why + "\n");
}

void http_server_connection::SendProcessing() {
  if (is_answer_pending_)
    connection_->Send("HTTP/1.1 102 Processing\r\n\r\n");
}

void http_server_connection::AnnounceClose(Poco::Net::HTTPResponse* head) {
  is_close_announced_ = close_after_answer_;
  if (close_after_answer_)
    head->set("Connection", "close");
}

void http_server_connection::Answer(time_point now,
                                    Poco::Net::HTTPResponse head,
                                    std::string_view body) {
  if (!is_answer_pending_)
    return;
  head.set("Content-Length", std::to_string(body.size()));
  AnnounceClose(&head);
  std::string text = WriteHead(head);
  if (!is_head_request_)
    text += body;
  connection_->Send(text);
  FinishAnswer(now);
}

void http_server_connection::BeginChunks(Poco::Net::HTTPResponse head) {
  head.set("Transfer-Encoding", "chunked");
  AnnounceClose(&head);
  connection_->Send(WriteHead(head));
}

void http_server_connection::SendChunk(std::string_view bytes) {
  if (!bytes.empty() && !is_head_request_)
    connection_->Send(WriteChunk(bytes));
}

void http_server_connection::EndChunks(time_point now) {
  if (!is_head_request_)
    connection_->Send(kLastChunk);
  FinishAnswer(now);
}

void http_server_connection::FinishAnswer(time_point now) {
  is_answer_pending_ = false;
  is_head_request_ = false;
  connection_->SetReading(true);
  if (is_close_announced_) {
    connection_->CloseWhenSent(now);
    return;
  }
  stage_ = stage::kHead;
  has_head_bytes_ = false;
  timeout_start_ = now;
  limits_ = *newest_limits_;
  if (!connection_->Input()->empty())
    OnBytes(now);
}

void http_server_connection::Abort() {
  is_answer_pending_ = false;
  connection_->Close();
}

void http_server_connection::CloseWhenIdle(time_point now) {
  const auto is_due = [&] {
    return IsOpen() && IsWaiting() && !connection_->HasUnsent() &&
           now - timeout_start_ > kCloseDelay;
  };
  if (!is_due())
    return;
  ReadArrived(now);
  if (is_due()) {
    ReportClose(now, listener_close::kStopping);
    connection_->Close();
  }
}

void http_server_connection::ReportClose(time_point now, listener_close why) {
  if (hooks_->on_close)
    hooks_->on_close(now, why, connection_->HasInput());
}

bool http_server_connection::IsIdle() const {
  return IsOpen() ? IsWaiting() && !connection_->HasUnsent() : !IsLingering();
}

bool http_server_connection::HasTimedOut(time_point now) const {
  if (!IsOpen() || stage_ == stage::kAnswering)
    return false;
  return now - timeout_start_ >
         (IsWaiting() ? limits_.idle_timeout : limits_.header_timeout);
}

void http_server_connection::ReadArrived(time_point now) {
  // The limits on a request bound the loop.
  while (stage_ != stage::kAnswering && connection_->ReadArrived(now)) {
  }
}

void http_server_connection::EnforceTimeouts(time_point now) {
  // A wait begins once the answer before it has been sent.
  if (IsWaiting() && connection_->HasUnsent())
    timeout_start_ = now;
  if (!HasTimedOut(now))
    return;
  ReadArrived(now);
  if (!HasTimedOut(now))
    return;
  if (!IsWaiting()) {
    Refuse(now, 408, "request not complete in time");
    return;
  }
  ReportClose(now, listener_close::kIdleTimeout);
  connection_->Close();
}

http_listener::http_listener(event_loop* loop,
                             tcp_connection_options options,
                             http_listener_hooks hooks)
    : loop_(loop),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      listener_(loop,
                [this](time_point now, const Poco::Net::StreamSocket& socket) {
                  auto made = std::make_shared<http_server_connection>(
                      ++last_connection_id_,
                      tcp_connection::Adopt(loop_, socket, options_), &limits_,
                      &hooks_, now);
                  made->RegisterHooks();
                  if (closes_after_answers_)
                    made->CloseAfterAnswer();
                  connections_[made->Id()] = made;
                }) {}

outcome<done> http_listener::Listen(const std::string& address) {
  return listener_.Listen(address);
}

void http_listener::EnforceTimeouts(time_point now) {
  std::erase_if(connections_, [](const auto& item) {
    return !item.second->IsOpen() && !item.second->IsLingering();
  });
  LimitLingering();
  for (auto& [id, connection] : connections_) {
    connection->EnforceTimeouts(now);
    if (is_closing_)
      connection->CloseWhenIdle(now);
  }
}

void http_listener::LimitLingering() {
  auto count = std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& item) { return item.second->IsLingering(); });
  for (auto& [id, connection] : connections_) {
    if (std::cmp_less_equal(count, kMaxLingering))
      return;
    if (connection->IsLingering()) {
      connection->EndLinger();
      --count;
    }
  }
}

void http_listener::SetLimits(const caller_limits& limits) {
  limits_ = limits;
  for (auto& [id, connection] : connections_)
    connection->RaiseLimits();
}

void http_listener::CloseAfterAnswers() {
  closes_after_answers_ = true;
  for (auto& [id, connection] : connections_)
    connection->CloseAfterAnswer();
}

void http_listener::CloseWhenIdle() {
  is_closing_ = true;
  CloseAfterAnswers();
}

size_t http_listener::UnreadCount() const {
  return static_cast<size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& item) { return item.second->HasInput(); }));
}

size_t http_listener::OpenCount() const {
  return static_cast<size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& item) { return item.second->IsOpen(); }));
}

void http_listener::StopListening(time_point now) {
  listener_.Accept(now);
  listener_.Close();
}

bool http_listener::IsIdle() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& item) { return item.second->IsIdle(); });
}

}  // namespace fuchsiafall
