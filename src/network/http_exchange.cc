/// @file http_exchange.cc HTTP client on an event loop.
#include "network/http_exchange.h"

#include <algorithm>
#include <charconv>

namespace fuchsiafall {

namespace {

/// Reads the timeout of a Keep-Alive header.
std::optional<seconds> KeepAliveOf(const Poco::Net::HTTPResponse& head) {
  const std::string value = head.get("Keep-Alive", "");
  const size_t at = value.find("timeout=");
  if (at == std::string::npos)
    return std::nullopt;
  int64_t count = 0;
  const char* begin = value.data() + at + 8;
  auto [end, error] =
      std::from_chars(begin, value.data() + value.size(), count);
  if (error != std::errc())
    return std::nullopt;
  return seconds(count);
}

}  // namespace

http_client_connection::http_client_connection(
    uint64_t id,
    std::shared_ptr<tcp_connection> connection,
    milliseconds max_idle,
    http_answer_limits limits,
    std::function<void(http_client_connection*)> on_idle,
    std::function<void(http_client_connection*)> on_closed,
    std::function<void(time_point)> on_idle_lost)
    : id_(id),
      connection_(std::move(connection)),
      max_idle_(max_idle),
      limits_(limits),
      on_idle_(std::move(on_idle)),
      on_closed_(std::move(on_closed)),
      on_idle_lost_(std::move(on_idle_lost)) {}

void http_client_connection::RegisterHooks() {
  connection_->SetHooks(
      {.on_bytes = [this](time_point now,
                          std::string* input) { OnBytes(now, input); },
       .on_closed = [this](time_point now,
                           close_cause cause) { OnClosed(now, cause); }});
}

void http_client_connection::Start(std::string_view request,
                                   bool is_head_request,
                                   exchange_hooks hooks) {
  ++exchange_count_;
  hooks_ = std::make_shared<exchange_hooks>(std::move(hooks));
  is_busy_ = true;
  is_head_request_ = is_head_request;
  has_head_ = false;
  has_skipped_ = false;
  received_bytes_ = 0;
  head_count_ = 0;
  head_search_.Restart();
  connection_->Send(request);
}

void http_client_connection::Abort() {
  auto self = shared_from_this();
  hooks_.reset();
  is_busy_ = false;
  CloseAndNotify();
}

void http_client_connection::OnBytes(time_point now, std::string* input) {
  auto self = shared_from_this();
  // A hook may abort the exchange, which releases the hooks.
  const auto hooks = hooks_;
  while (connection_->IsOpen()) {
    if (!is_busy_) {
      // Bytes that arrive outside an exchange answer no request.
      CloseAndNotify();
      return;
    }
    if (!has_head_ && !ReadHead(now, input))
      return;
    std::string bytes;
    const size_t before = input->size();
    const read_progress progress = body_.Read(input, &bytes);
    received_bytes_ += before - input->size();
    if (received_bytes_ > limits_.answer_bytes) {
      Finish(now, exchange_end::kMalformed);
      return;
    }
    if (!bytes.empty() && !is_skipped_ && hooks->on_body)
      hooks->on_body(now, bytes);
    if (!connection_->IsOpen() || !is_busy_)
      return;
    if (progress == read_progress::kMalformed) {
      Finish(now, exchange_end::kMalformed);
      return;
    }
    if (progress == read_progress::kNeedsMore)
      return;
    has_head_ = false;
    if (is_skipped_)
      continue;
    // Bytes after the answer belong to no request, least of all to the next.
    if (!input->empty())
      close_after_answer_ = true;
    Finish(now, exchange_end::kComplete);
    return;
  }
}

bool http_client_connection::ReadHead(time_point now, std::string* input) {
  while (true) {
    const size_t end = head_search_.Find(*input);
    if (end == std::string::npos) {
      if (input->size() > limits_.head_bytes)
        Finish(now, exchange_end::kMalformed);
      return false;
    }
    received_bytes_ += end;
    if (++head_count_ > limits_.heads) {
      Finish(now, exchange_end::kMalformed);
      return false;
    }
    auto head = ParseResponseHead(std::string_view(*input).substr(0, end));
    if (!head) {
      Finish(now, exchange_end::kMalformed);
      return false;
    }
    input->erase(0, end);
    if (head->getStatus() / 100 == 1) {
      const auto hooks = hooks_;
      if (hooks->on_interim)
        hooks->on_interim(now);
      if (!is_busy_ || !connection_->IsOpen())
        return false;
      continue;
    }
    auto framing = FramingOf(*head, is_head_request_);
    if (!framing || framing->second > limits_.answer_bytes) {
      Finish(now, exchange_end::kMalformed);
      return false;
    }
    body_.Start(framing->first, framing->second);
    has_head_ = true;
    close_after_answer_ =
        RequestsClose(*head) || framing->first == body_framing::kUntilClose;
    auto server_timeout = KeepAliveOf(*head);
    idle_timeout_ = server_timeout
                        ? std::min<milliseconds>(*server_timeout, max_idle_)
                        : max_idle_;
    const auto hooks = hooks_;
    is_skipped_ = hooks->on_head && !hooks->on_head(now, *head);
    has_skipped_ = has_skipped_ || is_skipped_;
    return is_busy_ && connection_->IsOpen();
  }
}

void http_client_connection::OnClosed(time_point now, close_cause cause) {
  auto self = shared_from_this();
  if (is_busy_) {
    const bool is_complete = has_head_ && !is_skipped_ &&
                             body_.Framing() == body_framing::kUntilClose &&
                             cause == close_cause::kPeerClosed;
    exchange_end end = exchange_end::kBroken;
    if (is_complete)
      end = exchange_end::kComplete;
    else if (cause == close_cause::kRefused)
      end = exchange_end::kRefused;
    else if (!connection_->IsConnected())
      end = exchange_end::kNotConnected;
    else if (cause == close_cause::kBroken)
      end = exchange_end::kCutOff;
    is_busy_ = false;
    const auto hooks = std::move(hooks_);
    if (hooks->on_end)
      hooks->on_end(now, end);
  } else if (on_idle_lost_ && cause != close_cause::kBroken) {
    on_idle_lost_(now);
  }
  if (on_closed_)
    on_closed_(this);
}

void http_client_connection::Finish(time_point now, exchange_end end) {
  const auto hooks = std::move(hooks_);
  is_busy_ = false;
  reusable_until_ = now + idle_timeout_;
  if (end != exchange_end::kComplete || close_after_answer_ || has_skipped_) {
    CloseAndNotify();
  } else if (on_idle_) {
    on_idle_(this);
  }
  if (hooks->on_end)
    hooks->on_end(now, end);
}

void http_client_connection::CloseAndNotify() {
  connection_->Close();
  if (on_closed_)
    on_closed_(this);
}

http_client_pool::~http_client_pool() {
  auto idle_connections = std::move(idle_);
  idle_.clear();
  for (auto& [address, connections] : idle_connections) {
    for (auto& one : connections)
      one->Abort();
  }
}

outcome<std::shared_ptr<http_client_connection>> http_client_pool::Acquire(
    time_point now,
    const std::string& address,
    const std::set<uint64_t>& excluded) {
  auto& connections = idle_[address];
  for (size_t i = connections.size(); i-- > 0;) {
    auto one = connections[i];
    if (excluded.contains(one->Id()))
      continue;
    connections.erase(connections.begin() + static_cast<ptrdiff_t>(i));
    if (one->IsQuiet() && now < one->ReusableUntil() - options_.idle_margin) {
      busy_[one.get()] = {one, address};
      return one;
    }
    one->Abort();
  }
  return Open(address);
}

outcome<std::shared_ptr<http_client_connection>> http_client_pool::Open(
    const std::string& address) {
  auto connection =
      tcp_connection::Connect(loop_, address, options_.connection);
  if (!connection)
    return failure{connection.LastReason()};
  ++opened_;
  auto made = std::make_shared<http_client_connection>(
      opened_, *connection, options_.max_idle, options_.limits,
      [this, address](http_client_connection* one) {
        auto it = busy_.find(one);
        if (it == busy_.end())
          return;
        idle_[address].push_back(it->second.connection);
        busy_.erase(it);
      },
      [this, address](http_client_connection* one) {
        busy_.erase(one);
        std::erase_if(idle_[address],
                      [one](const auto& item) { return item.get() == one; });
      },
      [this, address](time_point now) {
        if (options_.on_idle_lost)
          options_.on_idle_lost(now, address);
      });
  made->RegisterHooks();
  busy_[made.get()] = {made, address};
  return made;
}

bool http_client_pool::IsConnected(const std::string& address) const {
  auto idle = idle_.find(address);
  if (idle != idle_.end() &&
      std::any_of(idle->second.begin(), idle->second.end(),
                  [](const auto& item) { return item->IsConnected(); }))
    return true;
  return std::any_of(busy_.begin(), busy_.end(), [&](const auto& item) {
    return item.second.address == address &&
           item.second.connection->IsConnected();
  });
}

void http_client_pool::CloseIdle(time_point now) {
  for (auto& [address, connections] : idle_) {
    auto copies = connections;
    for (auto& one : copies) {
      if (now >= one->ReusableUntil() - options_.idle_margin)
        one->Abort();
    }
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace fuchsiafall
