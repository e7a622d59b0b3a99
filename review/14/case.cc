// A server breaks off a stream after its last event, before the end of the
// answer. The run that goes on after this event has nothing left to send; the
// entry takes its complete answer for a broken one and closes the channel,
// again when the consumer resumes at sound servers only.
#include <iostream>

#include "lab.h"

using namespace lab;

namespace {

constexpr int kEvents = 20;
constexpr int kRequests = 120;
constexpr int kBrokenOf = 25;  // One of so many answers of one server: 4%.
constexpr milliseconds kEventInterval{10};

std::string Event(const std::string& id, int number) {
  return "id: " + std::to_string(number * 6) + "\ndata: " + id + " piece " +
         std::to_string(number) + "\n\n";
}

std::string Chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

struct stream {
  site* owner = nullptr;
  connection_ptr to;
  std::string id;
  int next = 1;
  bool is_broken = false;
};

void SendNext(const std::shared_ptr<stream>& item) {
  if (!item->to->IsOpen())
    return;
  if (item->next > kEvents) {
    if (!item->is_broken)
      return item->to->Send("0\r\n\r\n");
    item->owner->Record().Write("server breaks off id=" + item->id +
                                " after its last event");
    return item->to->Reset();
  }
  item->to->Send(Chunk(Event(item->id, item->next++)));
  item->owner->RunAfter(kEventInterval, [item] { SendNext(item); });
}

}  // namespace

int main(int, char** arguments) {
  site lab_site({.network = "127.94"}, arguments[1]);
  record_file& record = lab_site.Record();
  if (!lab_site.Start()) {
    record.Write("cannot start");
    return kCannotRun;
  }
  int answers[2] = {0, 0};
  int broken_off = 0;
  std::mutex mutex;
  std::map<std::string, int> passed_on;  // To sound servers.
  lab_site.InLoop([&] {
    for (int i = 0; i < 2; ++i) {
      lab_site.Plain(i).on_call = [&](const connection_ptr& from,
                                      const server_request& request) {
        from->Answer(200,
                     "Request-Id: " + request.Header("Request-Id") +
                         "\r\nResponse-Seal: 3e1b.07\r\n",
                     "roster");
      };
      lab_site.Model(i).on_call = [&, i](const connection_ptr& from,
                                         const server_request& request) {
        auto item = std::make_shared<stream>();
        item->owner = &lab_site;
        item->to = from;
        item->id = request.Header("Request-Id");
        item->next =
            std::atoi(request.Header("Last-Event-Id").c_str()) / 6 + 1;
        ++answers[i];
        item->is_broken = HasTrouble() && i == 0 && item->next == 1 &&
                          answers[i] % kBrokenOf == kBrokenOf / 2;
        broken_off += item->is_broken ? 1 : 0;
        if (!item->is_broken) {
          std::lock_guard lock(mutex);
          ++passed_on[item->id];
        }
        from->Send("HTTP/1.1 200 OK\r\nRequest-Id: " + item->id +
                   "\r\nResponse-Seal: 3e1b.07\r\nWeight-Versions: 1\r\n"
                   "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
        SendNext(item);
      };
    }
  });
  std::this_thread::sleep_for(seconds(4));
  int complete = 0;
  int cut_first = 0;    // Channels closed at the first request.
  int cut_resumed = 0;  // At a resumed one, of which all servers were sound.
  int resumed = 0;
  // Sends a stream's request on a channel that was kept from a request before.
  auto call = [&](const std::string& id, const std::string& more) {
    channel to(lab_site.EntryAddress(0));
    to.Call(PlainRequest("GET", id + "g", "/read/roster", "key-one", 1000),
            milliseconds(1500));
    const answer got =
        to.Call(StreamRequest(id, "/s/x", "key-one", 6000, more),
                milliseconds(8000));
    std::lock_guard lock(mutex);
    record.Write("consumer id=" + id + " " + Show(more, 40) + " status=" +
                 std::to_string(got.status) + " bytes=" +
                 std::to_string(got.body.size()) + " complete=" +
                 std::to_string(got.is_complete) + " closed=" +
                 std::to_string(got.was_closed) +
                 " passed on to sound servers=" +
                 std::to_string(passed_on[id]));
    return got;
  };
  auto is_cut = [&](const std::string& id, const answer& got) {
    std::lock_guard lock(mutex);
    return got.was_closed && !got.is_complete && passed_on[id] > 0;
  };
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "a" + std::to_string(1000 + i);
    const answer got = call(id, "");
    complete += got.is_complete && got.status == 200 ? 1 : 0;
    if (!is_cut(id, got))
      continue;
    ++cut_first;
    // The consumer retries once, on a new channel, after its last event.
    ++resumed;
    const std::string again = id + "r";
    const answer second =
        call(again, "Last-Event-Id: " + std::to_string(kEvents * 6) + "\r\n");
    if (is_cut(again, second))
      ++cut_resumed;
  }
  const std::string summary =
      "answers=" + std::to_string(answers[0]) + "," +
      std::to_string(answers[1]) + " broken off=" +
      std::to_string(broken_off) + " complete=" + std::to_string(complete) +
      " closed=" + std::to_string(cut_first) + " resumed=" +
      std::to_string(resumed) + " of these closed=" +
      std::to_string(cut_resumed);
  record.Write(summary);
  std::cout << summary << std::endl;
  if (complete < kRequests / 2 || (HasTrouble() && broken_off == 0))
    return kCannotRun;
  if (cut_resumed > 3)
    record.Write("BROKEN LOST");
  return cut_resumed > 3 ? kBroken : kHeld;
}
