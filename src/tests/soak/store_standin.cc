/// @file store_standin.cc Stand-in of the platform's store for the soak test.
#include "tests/soak/store_standin.h"

#include <Poco/Base64Decoder.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <functional>
#include <sstream>

#include "standins/standin_func.h"

namespace fuchsiafall::soak {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr size_t kPageItems = 50;  // Items in one page of a range.
constexpr milliseconds kWatchPollInterval{50};
constexpr milliseconds kCopyInterval{500};
constexpr seconds kCopyAge{3};
constexpr milliseconds kWriteAgainDelay{500};

std::string FromBase64(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  return std::string(std::istreambuf_iterator<char>(decoder), {});
}

std::string ToText(const Object& body) {
  std::ostringstream text;
  body.stringify(text);
  return text.str();
}

}  // namespace

bool DrawBool(double share, std::mt19937_64* random) {
  return std::uniform_real_distribution<double>(0, 1)(*random) < share;
}

milliseconds DrawSpan(int min_ms, int max_ms, std::mt19937_64* random) {
  return milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(*random));
}

store_standin::store_standin(event_loop* loop, uint64_t seed)
    : loop_(loop),
      random_(seed),
      listener_(loop,
                {},
                {.on_request = std::bind_front(&store_standin::OnRequest, this),
                 .on_disconnected = [this](time_point,
                                           http_server_connection* closed) {
                   std::erase_if(watchers_, [closed](const watcher& item) {
                     return item.connection.get() == closed;
                   });
                 }}) {}

outcome<done> store_standin::Listen(const std::string& address) {
  auto listening = listener_.Listen(address);
  if (listening)
    AnswerWatchers(BootNow());
  return listening;
}

void store_standin::OnRequest(
    time_point now,
    const std::shared_ptr<http_server_connection>& from,
    const http_request& request) {
  ++calls;
  if (mode == store_mode::kUnresponsive)
    return;
  if (mode == store_mode::kReset)
    return from->Abort();
  if (mode == store_mode::kBusy)
    return Answer(from, 503, "{}");
  standins::query_map query;
  const std::string path = standins::SplitQuery(request.head.getURI(), &query);
  if (path == "/kv-range")
    return Answer(from, 200, Range(query["Prefix"], query["After"]));
  if (path == "/kv-watch") {
    return Watch(now,
                 {.connection = from,
                  .prefix = query["Prefix"],
                  .after = std::stoull(query["After"]),
                  .until = now + milliseconds(std::stol(query["WaitMs"]))});
  }
  if (path == "/kv-txn")
    return ApplyTransaction(now, from, request.body);
  Answer(from, 404, "{}");
}

void store_standin::Answer(const std::shared_ptr<http_server_connection>& to,
                           int status,
                           const std::string& body) {
  auto send = [to, status, body, era = era_](time_point now) {
    auto head = MakeAnswerHead(status);
    head.setContentType("application/json");
    head.set("Store-Era", std::to_string(era));
    to->Answer(now, head, body);
  };
  if (delay == milliseconds(0))
    return send(BootNow());
  loop_->StartTimer(BootNow() + delay, send);
}

std::string store_standin::Range(const std::string& prefix,
                                 const std::string& after) const {
  Array found;
  bool has_more = false;
  for (auto it = items_.upper_bound(after); it != items_.end(); ++it) {
    if (!it->first.starts_with(prefix))
      continue;
    if (found.size() >= kPageItems) {
      has_more = true;
      break;
    }
    Object row;
    row.set("Key", it->first);
    row.set("Value", standins::EncodeBase64(it->second.value));
    row.set("Revision", it->second.revision);
    row.set("LeaseId", 0);
    found.add(row);
  }
  Object body;
  body.set("Items", found);
  body.set("HasMore", has_more);
  body.set("At", revision_);
  return ToText(body);
}

void store_standin::Watch(time_point now, const watcher& item) {
  if (item.after < compacted_ || item.after > revision_)
    return Answer(item.connection, 410, "{}");
  if (!AnswerWatch(item, now >= item.until))
    watchers_.push_back(item);
}

bool store_standin::AnswerWatch(const watcher& item, bool is_expired) {
  Array events;
  for (auto it = history_.upper_bound(item.after); it != history_.end(); ++it) {
    if (!it->second.key.starts_with(item.prefix))
      continue;
    Object row;
    row.set("Key", it->second.key);
    row.set("Revision", it->first);
    if (it->second.is_deleted) {
      row.set("Deleted", true);
    } else {
      row.set("Value", standins::EncodeBase64(it->second.value));
    }
    events.add(row);
  }
  if (events.size() == 0 && !is_expired)
    return false;
  Object body;
  body.set("events", events);
  body.set("At", revision_);
  Answer(item.connection, 200, ToText(body));
  return true;
}

void store_standin::AnswerWatchers(time_point now) {
  if (mode == store_mode::kOpen) {
    std::erase_if(watchers_, [&](const watcher& item) {
      return AnswerWatch(item, now >= item.until);
    });
  }
  MakeCopy(now);
  listener_.EnforceTimeouts(now);
  loop_->StartTimer(now + kWatchPollInterval,
                    [this](time_point at) { AnswerWatchers(at); });
}

void store_standin::ApplyTransaction(
    time_point,
    const std::shared_ptr<http_server_connection>& from,
    const std::string& body) {
  const auto transaction =
      Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
  for (const auto& row : *transaction->getArray("Precondition")) {
    const auto& wanted = row.extract<Object::Ptr>();
    auto known = items_.find(wanted->getValue<std::string>("Key"));
    const uint64_t revision =
        known == items_.end() ? 0 : known->second.revision;
    if (revision != wanted->getValue<uint64_t>("Revision"))
      return Answer(from, 412, R"({"Items":[]})");
  }
  for (const auto& row : *transaction->getArray("Puts")) {
    const auto& put = row.extract<Object::Ptr>();
    const std::string value = FromBase64(put->getValue<std::string>("Value"));
    Apply(put->getValue<std::string>("Key"), &value);
  }
  for (const auto& key : *transaction->getArray("Remove"))
    Apply(key.convert<std::string>(), nullptr);
  if (DrawBool(lost_answer_share, &random_))
    return from->Abort();
  Answer(from, 200, "{\"Revision\":" + std::to_string(revision_) + "}");
}

void store_standin::Apply(const std::string& key, const std::string* value) {
  ++revision_;
  if (value != nullptr) {
    items_[key] = {*value, revision_};
    history_[revision_] = {key, *value, false};
  } else {
    items_.erase(key);
    history_[revision_] = {key, "", true};
  }
}

void store_standin::Put(const std::string& key, const std::string& value) {
  written_[key] = value;
  Apply(key, &value);
}

void store_standin::Remove(const std::string& key) {
  written_.erase(key);
  if (items_.contains(key))
    Apply(key, nullptr);
}

void store_standin::MakeCopy(time_point now) {
  if (!copies_.empty() && now - copies_.back().made_at < kCopyInterval)
    return;
  copies_.push_back({.made_at = now, .items = items_, .revision = revision_});
  while (now - copies_.front().made_at > kCopyAge)
    copies_.pop_front();
}

void store_standin::Restore(time_point now) {
  const stored_copy copy = copies_.front();
  copies_.clear();
  ++era_;
  items_ = copy.items;
  revision_ = copy.revision;
  Compact();
  loop_->StartTimer(now + kWriteAgainDelay,
                    [this](time_point) { WriteAgain(); });
}

void store_standin::WriteAgain() {
  std::vector<std::string> removed;
  for (const auto& [key, item] : items_) {
    if ((key.starts_with("op/") || key.starts_with("servers/")) &&
        !written_.contains(key))
      removed.push_back(key);
  }
  for (const std::string& key : removed)
    Apply(key, nullptr);
  for (const auto& [key, value] : written_) {
    auto known = items_.find(key);
    if (known == items_.end() || known->second.value != value)
      Apply(key, &value);
  }
}

void store_standin::Compact() {
  compacted_ = revision_;
  history_.clear();
  for (const watcher& item : watchers_)
    item.connection->Abort();
  watchers_.clear();
}

}  // namespace fuchsiafall::soak
