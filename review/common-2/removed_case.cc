/// @file removed_case.cc A server leaves and its entry is removed; then the
/// store gives one machine no answers for some seconds.
#include "fleet.h"

using namespace review;

namespace {

constexpr int kServers = 3;          // Of the service; the last one leaves.
constexpr int64_t kSilentMs = 4500;  // The store turns the machine away.
constexpr int64_t kDrainMs = 2000;   // DrainMs
constexpr int64_t kAskForMs = 5000;  // After the store answers all again.
constexpr char kLeaving[] = "i-1002";

std::string ConfigurationOf(int version) {
  std::string text = R"({"Version":)" + std::to_string(version) +
                     R"(,"Routes":[{"Name":"booking","Host":"seats.example",)"
                     R"("Prefix":"/book/","Service":"seats",)"
                     R"("Kind":"non_idempotent","Attempts":1,)"
                     R"("TimeoutMs":1000,"TargetLatencyMs":150,)"
                     R"("Priority":2,"Anonymous":false})";
  for (int i = 0; i < 110; ++i) {
    const std::string n = std::to_string(i);
    text += R"(,{"Name":"idle)" + n +
            R"(","Host":"idle.example","Prefix":"/r)" + n +
            R"(/","Service":"seats","Kind":"idempotent","Attempts":2,)"
            R"("TimeoutMs":1000,"TargetLatencyMs":150,"Priority":2,)"
            R"("Anonymous":false,"AllowedRegions":[]})";
  }
  return text + R"(],"Services":[{"Name":"seats","ColdPerS":0}],"Limits":)"
                R"({"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
                R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[)"
                R"({"Name":"stays","ApiKeys":["keystays"]}]})";
}

std::string ServerOf(const std::string& ip, const std::string& service) {
  return R"({"Service":")" + service + R"(","Address":")" + ip +
         R"(:8001","Zone":"zone-a","Version":"v1","Slots":6,"State":"ready",)"
         R"("ColdRemainingMs":0,"Sequence":1,"born":1790000000000})";
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
  std::map<std::string, int64_t> sent;  // By request.
  std::atomic<int64_t> removed_at{0};
  std::atomic<int64_t> told_at{0};  // The second entry, by the store.
  std::atomic<int> late{0};

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
            const int64_t at = sent.contains(name) ? sent[name] : 0;
            events.Write("server " + id + " runs " + name);
            if (id == kLeaving && told_at > 0 &&
                at > std::max(removed_at.load(), told_at.load()) + kDrainMs) {
              ++late;
              events.Write("BROKEN: " + name + " reached " + id + " " +
                           std::to_string(NowMs() - removed_at) +
                           " ms after the removal was confirmed");
            }
          }
          SleepMs(20);
          return SendAll(
              fd, Answer(200, name + " done", echo + "Response-Seal: 1.2\r\n"));
        });
    if (!listens)
      return kCouldNotRun;
    platform.Put("servers/" + id, ServerOf(ip, "seats"));
  }
  platform.Put("op/config", ConfigurationOf(1));

  std::vector<std::unique_ptr<process>> entries;
  std::string ips[2];
  for (int i = 0; i < 2; ++i) {
    ips[i] = net + std::to_string(10 + i);
    links[i].name = "front-zone-a-" + std::to_string(i + 1);
    const std::string store_ip = net + std::to_string(20 + i);
    if (!platform.Listen(store_ip, 8007, &links[i]))
      return kCouldNotRun;
    entries.push_back(
        std::make_unique<process>(links[i].name, "entry", folder.Path()));
    entries.back()->Start(
        SettingsOf({{"Node", links[i].name},
                    {"Role", "entry"},
                    {"Serves", "front"},
                    {"Ip", ips[i]},
                    {"Listen.Front", ips[i] + ":8005"},
                    {"Listen.Ready", ips[i] + ":8002"},
                    {"Platform.Address", store_ip + ":8007"}}));
  }
  for (const std::string& ip : ips) {
    if (!WaitReady(ip, 8002, 10000))
      return kCouldNotRun;
  }
  SleepMs(3000);
  const int before[2] = {links[0].watches, links[1].watches};
  SleepMs(2000);
  const int first =
      links[0].watches - before[0] > links[1].watches - before[1] ? 0 : 1;
  const int second = 1 - first;
  events.Write("first relay: " + links[first].name);

  int next = 0;
  const auto ask = [&](int entry) {
    const std::string id = "q" + std::to_string(++next);
    const int64_t at = NowMs();
    {
      std::lock_guard lock(mutex);
      sent[id] = at;
    }
    const answer got = Call(
        ips[entry], 8005,
        "POST /book/1 HTTP/1.1\r\nHost: seats.example\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer keystays"
            "\r\nContent-Length: 4\r\n\r\nbody",
        1500);
    events.Write("client: " + id + " to " + links[entry].name + ", sent at " +
                 std::to_string(at) + ": status " +
                 std::to_string(got.head.Status()));
    return got.head.Status();
  };
  if (ask(0) != 200 || ask(1) != 200)
    return kCouldNotRun;

  // Another server comes while the first relay has just begun a watch.
  const int64_t known = links[first].watch_at;
  while (links[first].watch_at == known)
    SleepMs(1);
  const int64_t start = links[first].watch_at;
  SleepUntil(start + 20);
  platform.Put("servers/i-2000", ServerOf(net + "150", "other"));
  SleepUntil(start + 100);
  platform.Remove(std::string("servers/") + kLeaving);
  removed_at = NowMs();
  events.Write(std::string("server ") + kLeaving +
               " leaves; its entry is removed, and it goes on serving");
  SleepUntil(start + 150);
  if (!has_trouble)
    told_at = removed_at.load();  // All are in touch, the store is stable.
  if (has_trouble) {
    links[first].is_silent = true;
    events.Write("the store gives no answers to " + links[first].name);
  }
  for (int i = 0; i < 3; ++i) {
    SleepUntil(start + 200 + i * 330);
    platform.Put("op/config", ConfigurationOf(2 + i));
    events.Write("operator: version " + std::to_string(2 + i));
  }
  const int64_t silent_until = start + 150 + kSilentMs;
  int served = 0;
  while (NowMs() < silent_until + kAskForMs) {
    if (NowMs() > silent_until && links[first].is_silent) {
      links[first].is_silent = false;
      events.Write("the store answers all machines");
    }
    if (links[second].told_removal_at > 0 && told_at == 0) {
      told_at = links[second].told_removal_at.load();
      events.Write(links[second].name + " was told of the removal");
    }
    served += ask(second) == 200 ? 1 : 0;
    SleepMs(50);
  }
  events.Write(std::to_string(late) +
               " requests reached the server that left, " +
               std::to_string(served) + " were served");
  std::cout << late << " requests reached the server that left, " << served
            << " were served\n";
  Finish(late > 0     ? kBroken
         : served > 0 ? kHeld
                      : kCouldNotRun,
         entries, &folder);
}
