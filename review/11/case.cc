// A model server in trouble sends bytes that are no answer, without end, in
// the body of a stream. The entry goes on at a sound server, but has passed
// the bytes on.
#include <iostream>
#include <random>

#include "lab.h"

using namespace lab;

namespace {

constexpr int kEvents = 20;
constexpr int kRequests = 120;
constexpr int kSpoiltOf = 25;   // One of so many answers of one server: 4%.
constexpr int kSpoiltAfter = 5;  // Events.
constexpr milliseconds kEventInterval{10};
constexpr size_t kBurst = 1U << 17;

std::string Event(const std::string& id, int number) {
  return "id: " + std::to_string(number * 6) + "\ndata: " + id + " piece " +
         std::to_string(number) + "\n\n";
}

std::string Whole(const std::string& id) {
  std::string text;
  for (int number = 1; number <= kEvents; ++number)
    text += Event(id, number);
  return text;
}

// One answer. It has neither a length nor chunks, and ends with its channel.
struct stream {
  site* owner = nullptr;
  connection_ptr to;
  std::string id;
  int next = 1;
  bool is_spoilt = false;
  std::string junk;
};

void SendJunk(const std::shared_ptr<stream>& item) {
  if (!item->to->IsOpen())
    return;
  item->to->Send(item->junk);
  item->owner->RunAfter(milliseconds(5), [item] { SendJunk(item); });
}

void SendNext(const std::shared_ptr<stream>& item) {
  if (!item->to->IsOpen())
    return;
  if (item->is_spoilt && item->next > kSpoiltAfter) {
    item->owner->Record().Write("server sends bytes that are no answer from "
                                "here on, id=" + item->id);
    std::mt19937_64 random(std::hash<std::string>{}(item->id));
    while (item->junk.size() < kBurst)
      item->junk += static_cast<char>(random());
    return SendJunk(item);
  }
  if (item->next > kEvents)
    return item->to->End();
  item->to->Send(Event(item->id, item->next++));
  item->owner->RunAfter(kEventInterval, [item] { SendNext(item); });
}

}  // namespace

int main(int, char** arguments) {
  site lab_site({.network = "127.91"}, arguments[1]);
  record_file& record = lab_site.Record();
  if (!lab_site.Start()) {
    record.Write("cannot start");
    return kCannotRun;
  }
  int answers[2] = {0, 0};
  int spoilt = 0;
  lab_site.InLoop([&] {
    for (int i = 0; i < 2; ++i) {
      lab_site.Model(i).on_call = [&, i](const connection_ptr& from,
                                         const server_request& request) {
        auto item = std::make_shared<stream>();
        item->owner = &lab_site;
        item->to = from;
        item->id = request.Header("Request-Id");
        item->next =
            std::atoi(request.Header("Last-Event-Id").c_str()) / 6 + 1;
        ++answers[i];
        item->is_spoilt = HasTrouble() && i == 0 && item->next == 1 &&
                          answers[i] % kSpoiltOf == kSpoiltOf / 2;
        spoilt += item->is_spoilt ? 1 : 0;
        from->Send("HTTP/1.1 200 OK\r\nRequest-Id: " + item->id +
                   "\r\nResponse-Seal: 3e1b.07\r\nWeight-Versions: 1\r\n"
                   "Content-Type: text/event-stream\r\n"
                   "Connection: close\r\n\r\n");
        SendNext(item);
      };
    }
  });
  std::this_thread::sleep_for(seconds(4));
  int complete = 0;
  int wrong = 0;
  int other = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "a" + std::to_string(1000 + i);
    channel to(lab_site.EntryAddress(0));
    const answer got = to.Call(
        StreamRequest(id, "/s/" + id, "key-one", 6000), milliseconds(8000));
    const bool is_success = got.status == 200 && got.is_complete &&
                            !got.Header("response-seal").empty();
    const bool is_wrong = is_success && got.body != Whole(id);
    (is_success ? complete : other) += 1;
    wrong += is_wrong ? 1 : 0;
    record.Write("consumer id=" + id + " status=" +
                 std::to_string(got.status) + " complete=" +
                 std::to_string(got.is_complete) + " bytes=" +
                 std::to_string(got.body.size()) + " of " +
                 std::to_string(Whole(id).size()));
    if (is_wrong) {
      record.Write("BROKEN MIXED: a complete success of " +
                   std::to_string(got.body.size()) + " bytes, begins with " +
                   Show(got.body, 300) + " and ends with " +
                   Show(got.body.substr(got.body.size() - 120)));
    }
  }
  const std::string summary =
      "answers=" + std::to_string(answers[0]) + "," +
      std::to_string(answers[1]) + " spoilt=" + std::to_string(spoilt) +
      " complete=" + std::to_string(complete) + " wrong=" +
      std::to_string(wrong) + " other=" + std::to_string(other);
  record.Write(summary);
  std::cout << summary << std::endl;
  if (complete < kRequests / 2 || (HasTrouble() && spoilt == 0))
    return kCannotRun;
  return wrong > 0 ? kBroken : kHeld;
}
