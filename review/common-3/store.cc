#include "store.h"

#include <Poco/Base64Decoder.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

#include "standins/standin_func.h"

namespace lab {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

constexpr size_t kPageItems = 100;
constexpr milliseconds kTickInterval{20};

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

store::store(event_loop* loop)
    : loop_(loop),
      listener_(loop,
                {},
                {.on_request =
                     [this](time_point now, const auto& from,
                            http_request&& request) {
                       OnRequest(now, from, request);
                     },
                 .on_disconnected =
                     [this](time_point, http_server_connection* closed) {
                       std::erase_if(watchers_, [closed](const watcher& one) {
                         return one.connection.get() == closed;
                       });
                     }}) {}

outcome<done> store::Listen(const std::string& address) {
  auto listening = listener_.Listen(address);
  if (listening)
    Tick(BootNow());
  return listening;
}

void store::Tick(time_point now) {
  std::erase_if(watchers_, [&](const watcher& one) {
    return AnswerWatch(one, now >= one.until);
  });
  listener_.EnforceTimeouts(now);
  loop_->StartTimer(now + kTickInterval, [this](time_point at) { Tick(at); });
}

void store::Answer(const std::shared_ptr<http_server_connection>& to,
                   int status,
                   const std::string& body) {
  auto head = MakeAnswerHead(status);
  head.setContentType("application/json");
  head.set("Store-Era", std::to_string(era_));
  to->Answer(BootNow(), head, body);
}

void store::OnRequest(time_point now,
                      const std::shared_ptr<http_server_connection>& from,
                      const http_request& request) {
  if (is_away)
    return from->Abort();
  standins::query_map query;
  const std::string path = standins::SplitQuery(request.head.getURI(), &query);
  if (path == "/kv-range")
    return Answer(from, 200, Range(query["Prefix"], query["After"]));
  if (path == "/kv-watch") {
    const watcher one{
        .connection = from,
        .prefix = query["Prefix"],
        .after = std::stoull(query["After"]),
        .until = now + milliseconds(std::stol(query["WaitMs"]))};
    if (one.after < compacted_ || one.after > revision_)
      return Answer(from, 410, "{}");
    if (!AnswerWatch(one, now >= one.until))
      watchers_.push_back(one);
    return;
  }
  if (path == "/kv-txn")
    return Transact(from, request.body);
  Answer(from, 404, "{}");
}

std::string store::Range(const std::string& prefix,
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
    row.set("Created", it->second.revision);
    row.set("LeaseId", 0);
    found.add(row);
  }
  Object body;
  body.set("Items", found);
  body.set("HasMore", has_more);
  body.set("At", revision_);
  return ToText(body);
}

bool store::AnswerWatch(const watcher& one, bool is_over) {
  Array events;
  for (auto it = history_.upper_bound(one.after); it != history_.end(); ++it) {
    if (!it->second.key.starts_with(one.prefix))
      continue;
    Object row;
    row.set("Key", it->second.key);
    row.set("Revision", it->first);
    if (it->second.is_deleted) {
      row.set("Deleted", true);
    } else {
      row.set("Value", standins::EncodeBase64(it->second.value));
      row.set("LeaseId", 0);
    }
    events.add(row);
  }
  if (events.size() == 0 && !is_over)
    return false;
  Object body;
  body.set("events", events);
  body.set("At", revision_);
  Answer(one.connection, 200, ToText(body));
  return true;
}

void store::Transact(const std::shared_ptr<http_server_connection>& from,
                     const std::string& text) {
  const auto body = Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
  for (const auto& row : *body->getArray("Precondition")) {
    const auto& wanted = row.extract<Object::Ptr>();
    auto known = items_.find(wanted->getValue<std::string>("Key"));
    const uint64_t revision =
        known == items_.end() ? 0 : known->second.revision;
    if (revision != wanted->getValue<uint64_t>("Revision"))
      return Answer(from, 412, "{\"Items\":[]}");
  }
  for (const auto& row : *body->getArray("Puts")) {
    const auto& put = row.extract<Object::Ptr>();
    const std::string value = FromBase64(put->getValue<std::string>("Value"));
    Apply(put->getValue<std::string>("Key"), &value);
  }
  for (const auto& key : *body->getArray("Remove"))
    Apply(key.convert<std::string>(), nullptr);
  Answer(from, 200, "{\"Revision\":" + std::to_string(revision_) + "}");
}

void store::Apply(const std::string& key, const std::string* value) {
  ++revision_;
  if (value != nullptr) {
    items_[key] = {*value, revision_};
    history_[revision_] = {key, *value, false};
  } else {
    items_.erase(key);
    history_[revision_] = {key, "", true};
  }
}

void store::Put(const std::string& key, const std::string& value) {
  written_[key] = value;
  Apply(key, &value);
}

void store::Remove(const std::string& key) {
  written_.erase(key);
  if (items_.contains(key))
    Apply(key, nullptr);
}

void store::ComeBackFromCopy(milliseconds written_again_after) {
  ++era_;
  items_ = copy_.items;
  revision_ = copy_.revision;
  compacted_ = revision_;
  history_.clear();
  is_away = false;
  for (const watcher& one : std::exchange(watchers_, {}))
    one.connection->Abort();
  loop_->StartTimer(BootNow() + written_again_after, [this](time_point) {
    std::vector<std::string> gone;
    for (const auto& [key, value] : items_) {
      if ((key.starts_with("op/") || key.starts_with("servers/")) &&
          !written_.contains(key))
        gone.push_back(key);
    }
    for (const std::string& key : gone)
      Apply(key, nullptr);
    for (const auto& [key, value] : written_) {
      auto known = items_.find(key);
      if (known == items_.end() || known->second.value != value)
        Apply(key, &value);
    }
    if (log)
      log("store: the operator and the servers have written again");
  });
}

}  // namespace lab
