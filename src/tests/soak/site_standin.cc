/// @file site_standin.cc Backend servers and the origin of weights.
#include "tests/soak/site_standin.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <functional>
#include <optional>
#include <sstream>

#include "hash_func.h"
#include "standins/standin_func.h"

namespace fuchsiafall::soak {

namespace {

constexpr size_t kSlots = 8;
constexpr milliseconds kPass{20};  // Between events of a stream.
constexpr milliseconds kCallTime{15};
constexpr milliseconds kLoadTime{100};
constexpr milliseconds kDownTime{1500};
/// Promise of the weights: what rotted this long before is not loaded.
constexpr milliseconds kRotUnseen{3000};
constexpr milliseconds kRevoke{5000};
constexpr char kSealValue[] = "1.2.3";

void AnswerText(const std::shared_ptr<http_server_connection>& to,
                time_point now,
                int status,
                const std::string& body) {
  auto head = MakeAnswerHead(status);
  to->Answer(now, head, body);
}

/// Piece that a call names; none where it names none.
std::optional<uint32_t> PieceNumber(const standins::query_map& query) {
  auto it = query.find("SampleCount");
  if (it == query.end())
    return std::nullopt;
  return static_cast<uint32_t>(std::stoul(it->second));
}

}  // namespace

std::string PieceOf(uint64_t version, uint32_t piece) {
  std::mt19937_64 random(version * 1000 + piece);
  std::string bytes(kPieceBytes, '\0');
  for (char& byte : bytes)
    byte = static_cast<char>(random());
  return bytes;
}

uint32_t EventsOf(const std::string& target) {
  return 3 + static_cast<uint32_t>(Hash64(target, 0) % 25);
}

void run_book::Break(const std::string& promise, const std::string& detail) {
  ++counts["broken " + promise];
  broken.push_back(promise + ": " + detail);
}

void run_book::OnRun(const std::string& id, milliseconds revoke) {
  auto it = requests.find(id);
  if (it == requests.end())
    return Break("unasked", id);
  request& item = it->second;
  ++item.runs;
  ++counts["runs"];
  if (item.runs > 1 && !item.may_repeat)
    Break("twice", id);
  if (item.was_refused)
    Break("refused and run", id);
  auto gone = revoked.find(item.key);
  if (gone != revoked.end() && item.sent_at > gone->second + revoke)
    Break("revoked key", id);
}

server_standin::server_standin(event_loop* loop,
                               store_standin* store,
                               run_book* book,
                               site_faults* faults,
                               std::string domain,
                               bool is_model)
    : loop_(loop),
      store_(store),
      book_(book),
      faults_(faults),
      domain_(std::move(domain)),
      is_model_(is_model),
      born_ms_(std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
      listener_(
          loop,
          {},
          {.on_request = std::bind_front(&server_standin::OnRequest, this),
           .on_disconnected = [this](time_point, http_server_connection* gone) {
             streams_.erase(gone);
           }}) {}

outcome<done> server_standin::Listen(const std::string& address,
                                     const std::string& shown) {
  shown_ = shown;
  id_ = "i-" + shown + "-0";
  random_.seed(Hash64(shown, 1));
  if (is_model_) {
    held_ = 1;
    for (uint32_t i = 0; i < kPieces; ++i)
      staged_[i] = PieceOf(1, i);
  }
  auto listening = listener_.Listen(address);
  if (listening) {
    WriteEntry();
    Pass(BootNow());
  }
  return listening;
}

void server_standin::WriteEntry() {
  std::ostringstream text;
  text << R"({"Service":")" << (is_model_ ? kModelService : kPlainService)
       << R"(","Address":")" << shown_ << R"(","Zone":")" << domain_
       << R"(","Version":"v1","Slots":)" << kSlots << R"(,"State":")"
       << (is_draining_ ? "draining" : "ready")
       << R"(","ColdRemainingMs":0,"born":)" << born_ms_;
  if (is_model_)
    text << "," << HeldFields();
  text << "}";
  store_->Put("servers/" + id_, text.str());
}

void server_standin::Crash(time_point now, bool has_new_id) {
  std::map<http_server_connection*, stream> streams;
  streams.swap(streams_);
  for (auto& [key, item] : streams)
    item.to->Break();
  held_ = loading_ = orders_ = 0;
  is_down_ = true;
  is_draining_ = false;
  const std::string before = id_;
  loop_->StartTimer(now + kDownTime, [this, has_new_id, before](time_point) {
    is_down_ = false;
    ++born_ms_;
    if (has_new_id) {
      store_->Remove("servers/" + before);
      id_ = "i-" + shown_ + "-" + std::to_string(++life_);
    }
    WriteEntry();
  });
}

void server_standin::Rot(time_point now, std::mt19937_64* random) {
  if (staged_.empty())
    return;
  auto it = staged_.begin();
  std::advance(it, static_cast<ptrdiff_t>((*random)() % staged_.size()));
  if (!it->second.empty()) {
    it->second[it->second.size() / 2] ^= 1;
    rotted_at_[it->first] = now;
  }
}

void server_standin::Drain() {
  is_draining_ = true;
  WriteEntry();
}

std::string server_standin::HeldFields() const {
  std::ostringstream text;
  text << R"("Stage":"combined","Models":[)";
  if (held_ > 0)
    text << R"({"Name":")" << kModel << R"(","Version":)" << held_ << "}";
  text << "]";
  if (held_ > 0)
    text << R"(,"layers":{"From":0,"To":4,"Version":)" << held_ << "}";
  return text.str();
}

std::string server_standin::Report() const {
  std::ostringstream text;
  text << "{" << HeldFields();
  text << R"(,"Busy":)" << (loading_ > 0 ? "true" : "false")
       << R"(,"Sequence":)" << orders_ << R"(,"QueuedRequests":0,)"
       << R"("ActiveRequests":)" << streams_.size()
       << R"(,"KvUsed":0,"KvTotal":90000,"pace":1.0,"born":)" << born_ms_
       << "}";
  return text.str();
}

void server_standin::OnRequest(
    time_point now,
    const std::shared_ptr<http_server_connection>& from,
    const http_request& request) {
  if (is_down_)
    return from->Break();
  const std::string path = Poco::URI(request.head.getURI()).getPath();
  if (path == "/report")
    return AnswerText(from, now, 200, Report());
  if (path == "/order")
    return OnOrder(now, from, request.body);
  if (path.starts_with("/stage-"))
    return OnStage(now, from, request);
  OnCall(now, from, request);
}

void server_standin::OnOrder(
    time_point now,
    const std::shared_ptr<http_server_connection>& from,
    const std::string& body) {
  auto order =
      Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
  const auto version = order->getValue<uint64_t>("Version");
  if (loading_ > 0)
    return AnswerText(from, now, 409, "");
  if (held_ == version)
    return AnswerText(from, now, 200, "");
  // What lies there is taken as it is at this moment, and never checked.
  for (uint32_t i = 0; i < kPieces; ++i) {
    if (staged_[i] == PieceOf(version, i))
      continue;
    // Nobody can see what rots between the last look at it and the order.
    auto rotted = rotted_at_.find(i);
    if (rotted != rotted_at_.end() && now - rotted->second <= kRotUnseen) {
      ++book_->counts["rotted just before an order"];
      continue;
    }
    book_->Break(
        "weights",
        id_ + " ordered to load version " + std::to_string(version) +
            " with piece " + std::to_string(i) + " wrong" +
            (rotted == rotted_at_.end()
                 ? ""
                 : ", rotted " + std::to_string(ToMs(now - rotted->second)) +
                       " ms before"));
    break;
  }
  loading_ = version;
  ++orders_;
  ++book_->counts["orders"];
  AnswerText(from, now, 202, "");
}

void server_standin::OnStage(
    time_point now,
    const std::shared_ptr<http_server_connection>& from,
    const http_request& request) {
  standins::query_map query;
  const std::string path = standins::SplitQuery(request.head.getURI(), &query);
  const auto piece = PieceNumber(query);
  if (path.starts_with("/stage-put/")) {
    staged_[piece.value_or(0)] = request.body;
    rotted_at_.erase(piece.value_or(0));
    return AnswerText(from, now, 200, "");
  }
  auto it = staged_.find(piece.value_or(0));
  if (!piece || it == staged_.end())
    return AnswerText(from, now, 404, "");
  AnswerText(from, now, 200, it->second);
}

void server_standin::OnCall(time_point now,
                            const std::shared_ptr<http_server_connection>& from,
                            const http_request& request) {
  const std::string id = request.head.get("Request-Id", "");
  auto refuse = [&](int status) {
    auto head = MakeAnswerHead(status);
    head.set("Not-Executed", "1");
    head.set("Instance-Id", id_);
    from->Answer(now, head, "");
  };
  if (request.head.get("Expect-Instance", id_) != id_)
    return refuse(421);
  if (is_model_) {
    const std::string expected = request.head.get("Expect-Version", "");
    if (!expected.empty() && expected != std::to_string(held_))
      return refuse(421);
    if (loading_ > 0 || held_ == 0 || streams_.size() >= kSlots)
      return refuse(503);
    book_->OnRun(id, kRevoke);
    return BeginStream(now, from, request);
  }
  book_->OnRun(id, kRevoke);
  const bool is_lost = Draws(faults_->lose_answers, &random_);
  loop_->StartTimer(now + kCallTime, [from, id, is_lost](time_point at) {
    if (is_lost)
      return from->Break();
    auto head = MakeAnswerHead(200);
    head.set("Request-Id", id);
    head.set("Response-Seal", kSealValue);
    from->Answer(at, head, id + " done");
  });
}

void server_standin::BeginStream(
    time_point,
    const std::shared_ptr<http_server_connection>& from,
    const http_request& request) {
  const std::string id = request.head.get("Request-Id", "");
  const std::string after = request.head.get("Last-Event-Id", "0");
  auto head = MakeAnswerHead(200);
  head.set("Request-Id", id);
  head.set("Response-Seal", kSealValue);
  head.set("Weight-Versions", std::to_string(held_));
  head.setContentType("text/event-stream");
  from->BeginChunks(head);
  streams_[from.get()] = {.to = from,
                          .id = id,
                          .next = static_cast<uint32_t>(std::stoul(after)) + 1,
                          .last = EventsOf(request.head.getURI()),
                          .version = held_};
}

void server_standin::Pass(time_point now) {
  // A connection that turns out to be closed leaves the map meanwhile.
  std::vector<std::shared_ptr<http_server_connection>> open;
  for (const auto& [key, item] : streams_)
    open.push_back(item.to);
  for (const auto& connection : open) {
    auto it = streams_.find(connection.get());
    if (it == streams_.end())
      continue;
    stream& item = it->second;
    if (item.next > item.last) {
      streams_.erase(it);
      connection->EndChunks(now);
      continue;
    }
    const std::string event =
        "id: " + std::to_string(item.next) + "\ndata: " + item.id + " " +
        std::to_string(item.version) + " " + std::to_string(item.last) + "\n\n";
    ++item.next;
    connection->SendChunk(event);
  }
  if (loading_ > 0 && streams_.empty()) {
    const uint64_t version = loading_;
    loop_->StartTimer(now + kLoadTime, [this, version](time_point) {
      if (loading_ != version)
        return;
      held_ = version;
      loading_ = 0;
      WriteEntry();
    });
  }
  listener_.EnforceTimeouts(now);
  loop_->StartTimer(now + kPass, [this](time_point at) { Pass(at); });
}

origin_standin::origin_standin(event_loop* loop, site_faults* faults)
    : faults_(faults),
      listener_(
          loop,
          {},
          {.on_request = std::bind_front(&origin_standin::OnRequest, this),
           .on_disconnected = [](time_point, http_server_connection*) {}}) {}

outcome<done> origin_standin::Listen(const std::string& address) {
  return listener_.Listen(address);
}

void origin_standin::OnRequest(
    time_point now,
    const std::shared_ptr<http_server_connection>& from,
    const http_request& request) {
  if (faults_->is_origin_down)
    return from->Break();
  standins::query_map query;
  standins::SplitQuery(request.head.getURI(), &query);
  auto named = query.find("Version");
  const uint64_t version =
      named == query.end() ? 1 : std::stoull(named->second);
  std::string body;
  if (const auto piece = PieceNumber(query)) {
    body = PieceOf(version, *piece);
  } else {
    body = R"({"Model":")" + std::string(kModel) + R"(","Version":)" +
           std::to_string(version) + R"(,"ChunkBytes":)" +
           std::to_string(kPieceBytes) + R"(,"layers":4,"Digests":[)";
    for (uint32_t i = 0; i < kPieces; ++i)
      body += (i > 0 ? ",\"" : "\"") +
              ToHex(DigestOf(PieceOf(version, i)).value) + "\"";
    body += "]}";
  }
  if (Draws(faults_->origin_spoils, &random_)) {
    // One hex digit of a manifest, or one byte of a piece.
    char& byte = body[body.size() * 3 / 4];
    byte = byte == 'a' ? 'b' : 'a';
  }
  sent_bytes += body.size();
  AnswerText(from, now, 200, body);
}

}  // namespace fuchsiafall::soak
