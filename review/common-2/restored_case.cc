/// @file restored_case.cc The store comes back from an older copy after a key
/// was taken away, and an entry starts again at that moment.
#include "fleet.h"

using namespace review;

namespace {

constexpr int kServers = 2;
constexpr int64_t kCopyAgeMs = 9000;  // Of the copy, when it comes back.
constexpr int64_t kAwayMs = 1000;
constexpr int64_t kWrittenAgainMs = 1000;  // After the return, by the operator.
constexpr int64_t kRestartMs = 400;        // After the return.
constexpr int64_t kRevokeBoundMs = 5000;   // RevokeMs

struct request_record {
  int64_t sent_at = 0;
  std::string key;
};

std::string ConfigurationOf(int version, bool has_second_key) {
  std::string text = R"({"Version":)" + std::to_string(version) +
                     R"(,"Routes":[{"Name":"booking","Host":"seats.example",)"
                     R"("Prefix":"/book/","Service":"seats",)"
                     R"("Kind":"non_idempotent","Attempts":1,)"
                     R"("TimeoutMs":1000,"TargetLatencyMs":150,)"
                     R"("Priority":2,"Anonymous":false})";
  for (int i = 0; i < 8; ++i) {
    const std::string n = std::to_string(i);
    text += R"(,{"Name":"idle)" + n +
            R"(","Host":"idle.example","Prefix":"/r)" + n +
            R"(/","Service":"seats","Kind":"idempotent","Attempts":2,)"
            R"("TimeoutMs":1000,"TargetLatencyMs":150,"Priority":2,)"
            R"("Anonymous":false,"AllowedRegions":[]})";
  }
  text += R"(],"Services":[{"Name":"seats","ColdPerS":0}],"Limits":)"
          R"({"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
          R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[)"
          R"({"Name":"stays","ApiKeys":["keystays"]})";
  text += R"(,{"Name":"leaves","ApiKeys":[)";
  text += has_second_key ? R"("keyleaves")" : "";
  return text + "]}]}";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2)
    return kCouldNotRun;
  signal(SIGPIPE, SIG_IGN);
  record events(std::string(argv[1]) + "/record.txt");
  scratch folder;
  const std::string net = Network();
  const bool has_trouble = HasTrouble();
  store platform(&events);
  store_link links[2];
  std::mutex mutex;
  std::map<std::string, request_record> sent;
  std::vector<std::string> late_runs;

  // Servers: each runs what it gets, once it is named rightly.
  std::vector<std::unique_ptr<http_server>> servers;
  for (int i = 0; i < kServers; ++i) {
    const std::string ip = net + std::to_string(100 + i);
    const std::string id = "i-" + std::to_string(1000 + i);
    servers.push_back(std::make_unique<http_server>());
    const bool listens = servers.back()->Listen(
        ip, 8001, [&, id](int fd, const http_message& request) {
          const std::string name = request.Get("request-id");
          const std::string echo = "Request-Id: " + name + "\r\n";
          if (request.Get("expect-instance") != id)
            return SendAll(fd, Answer(421, "", echo + "Not-Executed: 1\r\n"));
          {
            std::lock_guard lock(mutex);
            events.Write("server " + id + " runs " + name + " of tenant " +
                         request.Get("tenant"));
          }
          SleepMs(20);
          return SendAll(
              fd, Answer(200, name + " done", echo + "Response-Seal: 1.2\r\n"));
        });
    if (!listens)
      return kCouldNotRun;
    platform.Put(
        "servers/" + id,
        R"({"Service":")" + std::string(i < 2 ? "seats" : "other") +
            R"(","Address":")" + ip +
            R"(:8001","Zone":"zone-a",)"
            R"("Version":"v1","Slots":6,"State":"ready",)"
            R"("ColdRemainingMs":0,"Sequence":1,"born":1790000000000})");
  }
  platform.Put("op/config", ConfigurationOf(1, true));

  std::vector<std::unique_ptr<process>> entries;
  std::string ips[2];
  std::string settings[2];
  for (int i = 0; i < 2; ++i) {
    ips[i] = net + std::to_string(10 + i);
    links[i].name = "front-zone-a-" + std::to_string(i + 1);
    const std::string store_ip = net + std::to_string(20 + i);
    if (!platform.Listen(store_ip, 8007, &links[i]))
      return kCouldNotRun;
    settings[i] = SettingsOf({{"Node", links[i].name},
                              {"Role", "entry"},
                              {"Serves", "front"},
                              {"Ip", ips[i]},
                              {"Listen.Front", ips[i] + ":8005"},
                              {"Listen.Ready", ips[i] + ":8002"},
                              {"Platform.Address", store_ip + ":8007"}});
    entries.push_back(
        std::make_unique<process>(links[i].name, "entry", folder.Path()));
    entries.back()->Start(settings[i]);
  }
  for (const std::string& ip : ips) {
    if (!WaitReady(ip, 8002, 10000))
      return kCouldNotRun;
  }
  // The first relay of the zone is the entry that watches the store.
  SleepMs(3000);
  const int before[2] = {links[0].watches, links[1].watches};
  SleepMs(2000);
  const int first =
      links[0].watches - before[0] > links[1].watches - before[1] ? 0 : 1;
  const int second = 1 - first;
  events.Write("first relay: " + links[first].name +
               ", items in the store: " + std::to_string(platform.Size()));

  int next = 0;
  const auto ask = [&](int entry, const std::string& key) {
    const std::string id = "q" + std::to_string(++next);
    const int64_t at = NowMs();
    sent[id] = {at, key};
    const answer got = Call(
        ips[entry], 8005,
        "POST /book/1 HTTP/1.1\r\nHost: seats.example\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer " + key +
            "\r\nContent-Length: 4\r\n\r\nbody",
        1500);
    events.Write("client: " + id + " with " + key + " to " + links[entry].name +
                 ", sent at " + std::to_string(at) + ": status " +
                 std::to_string(got.head.Status()));
    return got.head.Status();
  };
  for (int i = 0; i < 2; ++i) {
    if (ask(i, "keyleaves") != 200 || ask(i, "keystays") != 200)
      return kCouldNotRun;
  }

  platform.Copy();
  const int64_t copied_at = NowMs();
  SleepMs(1500);
  const int64_t confirmed_at =
      platform.Put("op/config", ConfigurationOf(2, false));
  events.Write("operator: version 2 takes keyleaves away, confirmed at " +
               std::to_string(confirmed_at));
  SleepMs(2500);
  for (int i = 0; i < 2; ++i) {
    if (ask(i, "keyleaves") != 401 || ask(i, "keystays") != 200)
      return kCouldNotRun;
  }
  SleepUntil(copied_at + kCopyAgeMs - kAwayMs);
  int64_t restored_at = NowMs() + kAwayMs;
  if (has_trouble) {
    platform.GoAway();
    events.Write("the store is away; " + links[second].name + " is killed");
    entries[second]->Kill();
    SleepUntil(restored_at);
    platform.Restore();
    restored_at = NowMs();
    events.Write("the store is back from a copy of " +
                 std::to_string(restored_at - copied_at) + " ms ago");
    std::thread([&platform, &events, restored_at] {
      SleepUntil(restored_at + kWrittenAgainMs);
      platform.Put("op/config", ConfigurationOf(2, false));
      events.Write("operator: version 2 is written again");
    }).detach();
    SleepUntil(restored_at + kRestartMs);
    entries[second]->Start(settings[second]);
  } else {
    SleepUntil(restored_at);
  }
  int late = 0;
  int served = 0;
  while (NowMs() < restored_at + 5000) {
    for (int i = 0; i < 2; ++i) {
      const int64_t at = NowMs();
      if (at > confirmed_at + kRevokeBoundMs && ask(i, "keyleaves") == 200) {
        ++late;
        events.Write(
            "BROKEN: a request sent " + std::to_string(at - confirmed_at) +
            " ms after the confirmation ran with the key at " + links[i].name);
      }
      served += ask(i, "keystays") == 200 ? 1 : 0;
    }
    SleepMs(5);
  }
  events.Write(std::to_string(late) + " requests ran with the key, " +
               std::to_string(served) + " of the other key were served");
  std::cout << late << " requests ran with the key, " << served
            << " of the other key were served\n";
  Finish(late > 0     ? kBroken
         : served > 0 ? kHeld
                      : kCouldNotRun,
         entries, &folder);
}
