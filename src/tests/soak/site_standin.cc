/// @file site_standin.cc Stand-ins of backend servers and of the weight origin.
#include "tests/soak/site_standin.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <optional>
#include <sstream>

#include "hash_func.h"
#include "standins/standin_func.h"

namespace fuchsiafall::soak {

namespace {

constexpr size_t kSlots = 8;
constexpr size_t kGarbageBytes = 100;
constexpr milliseconds kTickInterval{20};  // Between events of a stream.
constexpr milliseconds kCallTime{15};
constexpr milliseconds kLongCallTime{400};
constexpr int kMinSilenceMs = 1000;
constexpr int kMaxSilenceMs = 1600;
constexpr int kMinPauseMs = 3000;  // Of a server that stands still.
constexpr int kMaxPauseMs = 4800;
constexpr double kPauseShare = 0.25;  // Of the orders held back.
/// Of the share of orders held back, for calls that come more often.
constexpr double kFrequentCallShare = 0.05;
constexpr milliseconds kStageTime{10};
constexpr milliseconds kLoadTime{100};
constexpr milliseconds kDowntime{1500};
/// Chunks corrupted longer than this before a load order must not be used.
constexpr milliseconds kMaxUndetectedCorruption{3000};
/// Requests sent later than this after the revocation of their key must not
/// run.
constexpr milliseconds kRevocationDelay{5000};
constexpr char kSealValue[] = "1.2.3";

void AnswerText(const std::shared_ptr<http_server_connection>& to,
                time_point now,
                int status,
                const std::string& body) {
  auto head = MakeAnswerHead(status);
  to->Answer(now, head, body);
}

/// Reads the chunk number of a query, if it has one.
std::optional<uint32_t> ChunkNumber(const standins::query_map& query) {
  auto it = query.find("SampleCount");
  if (it == query.end())
    return std::nullopt;
  return static_cast<uint32_t>(std::stoul(it->second));
}

}  // namespace

std::string ChunkOf(uint64_t version, uint32_t chunk) {
  std::mt19937_64 random(version * 1000 + chunk);
  std::string bytes = std::to_string(version) + " ";
  while (bytes.size() < kChunkBytes)
    bytes += static_cast<char>(random());
  return bytes;
}

std::string ServicesOf(const std::string& origin_address) {
  std::ostringstream text;
  text << R"([{"Name":")" << kModelService
       << R"(","ColdStartS":0,"ColdPerS":0,"Engine":{"Slots":)" << kSlots
       << R"(,"Stride":1,"Models":[{"Name":")" << kModel
       << R"(","WarmS":0.1}],"step_ms":18,)"
       << R"("per_seq_ms":0.1,"context_per_k":0,"read_per_s":100000,)"
       << R"("pairs_per_m":0,"usual":{"prompt":900,"answer":15},"layers":)"
       << kLayers << R"(,"Chunks":)" << kChunks << R"(,"ChunkBytes":)"
       << kChunkBytes << R"(}},{"Name":")" << kPlainService << R"("},{"Name":")"
       << kOriginService << R"(","Origin":")" << origin_address << R"("}])";
  return text.str();
}

uint32_t EventCountOf(const std::string& target) {
  return 3 + static_cast<uint32_t>(Hash64(target, 0) % 25);
}

void run_record::AddViolation(const std::string& guarantee,
                              const std::string& detail) {
  ++counts["broken " + guarantee];
  violations.push_back(guarantee + ": " + detail);
}

void run_record::RecordRun(const std::string& id,
                           milliseconds revocation_delay) {
  auto it = requests.find(id);
  if (it == requests.end())
    return AddViolation("unasked", id);
  request& item = it->second;
  ++item.runs;
  ++counts["runs"];
  if (item.runs > 1 && !item.may_repeat)
    AddViolation("twice", id);
  if (item.was_refused)
    AddViolation("refused and run", id);
  auto revocation = revoked.find(item.key);
  if (revocation != revoked.end() &&
      item.sent_at > revocation->second + revocation_delay)
    AddViolation("revoked key", id);
}

server_standin::server_standin(event_loop* loop,
                               store_standin* store,
                               run_record* record,
                               site_faults* faults,
                               std::string domain,
                               bool is_model)
    : loop_(loop),
      store_(store),
      record_(record),
      faults_(faults),
      domain_(std::move(domain)),
      is_model_(is_model),
      start_ms_(std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
      listener_(
          loop,
          {},
          {.on_request = std::bind_front(&server_standin::OnRequest, this),
           .on_disconnected = [this](time_point,
                                     http_server_connection* closed) {
             streams_.erase(closed);
           }}) {}

outcome<done> server_standin::Listen(const std::string& address,
                                     const std::string& proxy_address) {
  proxy_address_ = proxy_address;
  id_ = "i-" + proxy_address + "-0";
  random_.seed(Hash64(proxy_address, 1));
  held_random_.seed(Hash64(proxy_address, 2));
  spoilt_random_.seed(Hash64(proxy_address, 3));
  if (is_model_) {
    loaded_version_ = 1;
    for (uint32_t i = 0; i < kChunks; ++i)
      staged_chunks_[i] = {.written = ChunkOf(1, i)};
  }
  auto listening = listener_.Listen(address);
  if (listening) {
    WriteServerRecord();
    Tick(BootNow());
  }
  return listening;
}

void server_standin::WriteServerRecord() {
  std::ostringstream text;
  text << R"({"Service":")" << (is_model_ ? kModelService : kPlainService)
       << R"(","Address":")" << proxy_address_ << R"(","Zone":")" << domain_
       << R"(","Version":"v1","Slots":)" << kSlots << R"(,"State":")"
       << (is_draining_ ? "draining" : "ready")
       << R"(","ColdRemainingMs":0,"born":)" << start_ms_;
  if (is_model_)
    text << "," << LayerFields();
  text << "}";
  store_->Put("servers/" + id_, text.str());
}

void server_standin::Crash(time_point now, bool has_new_id) {
  std::map<http_server_connection*, stream> streams;
  streams.swap(streams_);
  for (auto& [key, item] : streams)
    item.to->Abort();
  loaded_version_ = loading_version_ = orders_ = 0;
  is_unloading_ = false;
  is_down_ = true;
  ++crash_count_;
  is_draining_ = false;
  const std::string before = id_;
  loop_->StartTimer(now + kDowntime, [this, has_new_id, before](time_point) {
    is_down_ = false;
    ++start_ms_;
    if (has_new_id) {
      store_->Remove("servers/" + before);
      id_ = "i-" + proxy_address_ + "-" + std::to_string(++restart_count_);
    }
    WriteServerRecord();
  });
}

void server_standin::CorruptStagedChunk(time_point now,
                                        std::mt19937_64* random) {
  if (staged_chunks_.empty())
    return;
  auto it = staged_chunks_.begin();
  std::advance(it, static_cast<ptrdiff_t>((*random)() % staged_chunks_.size()));
  if (it->second.corrupted_at == time_point{})
    it->second.corrupted_at = now;
}

void server_standin::Drain() {
  is_draining_ = true;
  WriteServerRecord();
}

std::string server_standin::LayerFields() const {
  std::ostringstream text;
  text << R"("Stage":"combined","Models":[)";
  if (loaded_version_ > 0)
    text << R"({"Name":")" << kModel << R"(","Version":)" << loaded_version_
         << "}";
  text << "]";
  if (loaded_version_ > 0)
    text << R"(,"layers":{"From":0,"To":)" << kLayers << R"(,"Version":)"
         << loaded_version_ << "}";
  return text.str();
}

std::string server_standin::Report() const {
  std::ostringstream text;
  text << "{" << LayerFields();
  text << R"(,"Busy":)" << (IsBusy() ? "true" : "false") << R"(,"Sequence":)"
       << orders_ << R"(,"QueuedRequests":0,)"
       << R"("ActiveRequests":)" << streams_.size()
       << R"(,"KvUsed":0,"KvTotal":90000,"pace":1.0,"born":)" << start_ms_
       << "}";
  return text.str();
}

void server_standin::OnRequest(
    time_point now,
    const std::shared_ptr<http_server_connection>& from,
    const http_request& request) {
  if (is_down_)
    return from->Abort();
  const std::string path = Poco::URI(request.head.getURI()).getPath();
  if (path == "/report") {
    const milliseconds hold =
        DrawHold(faults_->held_share * kFrequentCallShare);
    return ActAfter(now, hold, from, [from, report = Report()](time_point at) {
      AnswerText(from, at, 200, report);
    });
  }
  if (path == "/order") {
    milliseconds hold = DrawHold(faults_->held_share);
    const bool is_held = hold.count() > 0;
    if (is_held) {
      ++record_->counts["orders held"];
      if (DrawBool(kPauseShare, &held_random_))
        hold = DrawSpan(kMinPauseMs, kMaxPauseMs, &held_random_);
      on_order_held();
    }
    return ActAfter(now, hold, from,
                    [this, from, body = request.body, is_held](time_point at) {
                      OnOrder(at, from, body, is_held);
                    });
  }
  if (path.starts_with("/stage-")) {
    const milliseconds hold =
        DrawHold(faults_->held_share * kFrequentCallShare);
    return ActAfter(
        now, kStageTime + hold, from,
        [this, from, request](time_point at) { OnStage(at, from, request); });
  }
  OnCall(now, from, request);
}

milliseconds server_standin::DrawHold(double share) {
  if (!DrawBool(share, &held_random_))
    return milliseconds(0);
  return DrawSpan(kMinSilenceMs, kMaxSilenceMs, &held_random_);
}

void server_standin::ActAfter(
    time_point now,
    milliseconds span,
    const std::shared_ptr<http_server_connection>& from,
    const std::function<void(time_point)>& act) {
  if (span.count() == 0)
    return act(now);
  loop_->StartTimer(now + span,
                    [this, from, act, crashes = crash_count_](time_point at) {
                      if (crashes != crash_count_)
                        return from->Abort();
                      act(at);
                    });
}

std::string server_standin::FindSpoiltChunk(time_point now, uint64_t version) {
  for (uint32_t i = 0; i < kChunks; ++i) {
    const std::string chunk = "chunk " + std::to_string(i);
    auto it = staged_chunks_.find(i);
    if (it == staged_chunks_.end())
      return chunk + " missing";
    const auto& [written, corrupted_at] = it->second;
    if (written != ChunkOf(version, i)) {
      return chunk + " of version " +
             std::to_string(std::strtoull(written.c_str(), nullptr, 10));
    }
    if (corrupted_at == time_point{})
      continue;
    // The agent cannot detect corruption after its last check.
    if (now - corrupted_at > kMaxUndetectedCorruption) {
      return chunk + " corrupted for " +
             std::to_string(ToMs(now - corrupted_at)) + " ms";
    }
    ++record_->counts["rotted just before an order"];
  }
  return "";
}

void server_standin::OnOrder(
    time_point now,
    const std::shared_ptr<http_server_connection>& from,
    const std::string& body,
    bool was_held) {
  auto order =
      Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
  const auto version = order->getValue<uint64_t>("Version");
  if (IsBusy() || order->optValue("Precondition", orders_) != orders_)
    return AnswerText(from, now, 409, "");
  if (order->optValue("To", kLayers) == 0) {
    is_unloading_ = true;
    ++orders_;
    ++record_->counts["unload orders"];
    return AnswerText(from, now, 202, "");
  }
  if (loaded_version_ == version)
    return AnswerText(from, now, 200, "");
  // The server loads the staged chunks as they are now, without checking them.
  loading_fault_ = FindSpoiltChunk(now, version);
  if (!loading_fault_.empty()) {
    // An agent cannot recall an order that is held back.
    if (was_held) {
      ++record_->counts["spoilt loads of held orders"];
    } else {
      record_->AddViolation("weights", id_ + " was ordered to load version " +
                                           std::to_string(version) + " with " +
                                           loading_fault_);
    }
  }
  loading_version_ = version;
  ++orders_;
  ++record_->counts["orders"];
  AnswerText(from, now, 202, "");
}

void server_standin::OnStage(
    time_point now,
    const std::shared_ptr<http_server_connection>& from,
    const http_request& request) {
  standins::query_map query;
  const std::string path = standins::SplitQuery(request.head.getURI(), &query);
  const auto chunk = ChunkNumber(query);
  if (path.starts_with("/stage-put/")) {
    staged_chunks_[chunk.value_or(0)] = {.written = request.body};
    return AnswerText(from, now, 200, "");
  }
  auto it = staged_chunks_.find(chunk.value_or(0));
  if (!chunk || it == staged_chunks_.end())
    return AnswerText(from, now, 404, "");
  std::string bytes = it->second.written;
  if (it->second.corrupted_at != time_point{} && !bytes.empty())
    bytes[bytes.size() / 2] ^= 1;
  AnswerText(from, now, 200, bytes);
}

void server_standin::OnCall(time_point now,
                            const std::shared_ptr<http_server_connection>& from,
                            const http_request& request) {
  const std::string id = request.head.get("Request-Id", "");
  if (auto it = record_->requests.find(id); it != record_->requests.end())
    it->second.was_passed_on = true;
  auto refuse = [&](int status) {
    auto head = MakeAnswerHead(status);
    head.set("Request-Id", id);
    head.set("Not-Executed", "1");
    head.set("Instance-Id", id_);
    from->Answer(now, head, "");
  };
  if (request.head.get("Expect-Instance", id_) != id_)
    return refuse(421);
  if (is_model_) {
    const std::string expected = request.head.get("Expect-Version", "");
    if (!expected.empty() && expected != std::to_string(loaded_version_))
      return refuse(421);
    if (IsBusy() || loaded_version_ == 0 || streams_.size() >= kSlots)
      return refuse(503);
    record_->RecordRun(id, kRevocationDelay);
    return BeginStream(now, from, request);
  }
  record_->RecordRun(id, kRevocationDelay);
  const bool is_lost = DrawBool(faults_->lost_plain_answer_share, &random_);
  const milliseconds span =
      DrawBool(faults_->silent_share, &random_) ? kLongCallTime : kCallTime;
  loop_->StartTimer(now + span, [from, id, is_lost](time_point at) {
    if (is_lost)
      return from->Abort();
    auto head = MakeAnswerHead(200);
    head.set("Request-Id", id);
    head.set("Response-Seal", kSealValue);
    from->Answer(at, head, id + " done");
  });
}

milliseconds server_standin::DrawSilence() {
  return DrawSpan(kMinSilenceMs, kMaxSilenceMs, &random_);
}

void server_standin::BeginStream(
    time_point now,
    const std::shared_ptr<http_server_connection>& from,
    const http_request& request) {
  const std::string id = request.head.get("Request-Id", "");
  const std::string after = request.head.get("Last-Event-Id", "0");
  auto head = MakeAnswerHead(200);
  head.set("Request-Id", id);
  head.set("Response-Seal", kSealValue);
  head.set("Weight-Versions", std::to_string(loaded_version_));
  head.setContentType("text/event-stream");
  from->BeginChunks(head);
  ++record_->counts["streams begun"];
  streams_[from.get()] = {.to = from,
                          .id = id,
                          .next = static_cast<uint32_t>(std::stoul(after)) + 1,
                          .last = EventCountOf(request.head.getURI()),
                          .version = loaded_version_};
  DrawStreamFault(&streams_[from.get()]);
  if (!DrawBool(faults_->silent_share, &random_))
    return;
  stream& item = streams_[from.get()];
  if (random_() % 2 == 0) {
    item.silent_until = now + DrawSilence();
  } else {
    item.silent_before = 1 + static_cast<uint32_t>(random_() % item.last);
  }
}

void server_standin::DrawStreamFault(stream* item) {
  if (item->next > item->last + 1 ||
      !DrawBool(faults_->spoilt_stream_share, &spoilt_random_))
    return;
  const uint32_t event =
      item->next +
      static_cast<uint32_t>(spoilt_random_() % (item->last + 2 - item->next));
  if (spoilt_random_() % 2 == 0) {
    item->broken_before = event;
    ++record_->counts["streams broken off"];
  } else {
    item->spoilt_before = event;
    ++record_->counts["streams spoilt"];
  }
}

void server_standin::Tick(time_point now) {
  // SendChunk removes a stream from the map if its connection is closed.
  std::vector<std::shared_ptr<http_server_connection>> open;
  for (const auto& [key, item] : streams_)
    open.push_back(item.to);
  for (const auto& connection : open) {
    auto it = streams_.find(connection.get());
    if (it == streams_.end())
      continue;
    stream& item = it->second;
    if (item.next == item.silent_before) {
      item.silent_before = 0;
      item.silent_until = now + DrawSilence();
    }
    if (now < item.silent_until)
      continue;
    if (item.next == item.broken_before) {
      streams_.erase(it);
      connection->Abort();
      continue;
    }
    if (item.next == item.spoilt_before) {
      item.spoilt_before = 0;
      std::string garbage(kGarbageBytes, '\0');
      std::generate(garbage.begin(), garbage.end(),
                    [this] { return static_cast<char>(spoilt_random_()); });
      connection->SendChunk(garbage + "\n\n");
      continue;
    }
    if (item.next > item.last) {
      streams_.erase(it);
      connection->EndChunks(now);
      continue;
    }
    const std::string event =
        "id: " + std::to_string(item.next) + "\ndata: " + item.id + " " +
        std::to_string(item.version) + " " + std::to_string(item.last) + "\n\n";
    ++item.next;
    if (!loaded_fault_.empty() && spoilt_requests_.insert(item.id).second) {
      record_->AddViolation("weights", id_ + " made a token of " + item.id +
                                           " with version " +
                                           std::to_string(item.version) +
                                           ", loaded with " + loaded_fault_);
    }
    connection->SendChunk(event);
  }
  if (is_unloading_ && streams_.empty()) {
    is_unloading_ = false;
    loaded_version_ = 0;
    WriteServerRecord();
  }
  if (loading_version_ > 0 && streams_.empty()) {
    const uint64_t version = loading_version_;
    loop_->StartTimer(now + kLoadTime, [this, version](time_point) {
      if (loading_version_ != version)
        return;
      loaded_version_ = version;
      loaded_fault_ = loading_fault_;
      spoilt_requests_.clear();
      loading_version_ = 0;
      WriteServerRecord();
    });
  }
  listener_.EnforceTimeouts(now);
  loop_->StartTimer(now + kTickInterval, [this](time_point at) { Tick(at); });
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
    return from->Abort();
  standins::query_map query;
  standins::SplitQuery(request.head.getURI(), &query);
  auto named = query.find("Version");
  const uint64_t version =
      named == query.end() ? 1 : std::stoull(named->second);
  std::string body;
  if (const auto chunk = ChunkNumber(query)) {
    body = ChunkOf(version, *chunk);
  } else {
    body = R"({"Model":")" + std::string(kModel) + R"(","Version":)" +
           std::to_string(version) + R"(,"ChunkBytes":)" +
           std::to_string(kChunkBytes) + R"(,"layers":4,"Digests":[)";
    for (uint32_t i = 0; i < kChunks; ++i)
      body += (i > 0 ? ",\"" : "\"") +
              ToHex(DigestOf(ChunkOf(version, i)).value) + "\"";
    body += "]}";
  }
  if (DrawBool(faults_->origin_corrupt_share, &random_)) {
    // Changes one hex digit of a manifest, or one byte of a chunk.
    char& byte = body[body.size() * 3 / 4];
    byte = byte == 'a' ? 'b' : 'a';
  }
  sent_bytes += body.size();
  AnswerText(from, now, 200, body);
}

}  // namespace fuchsiafall::soak
