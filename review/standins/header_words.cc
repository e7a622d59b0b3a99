// Case "header words": a consumer sends a header whose value has encoded words (RFC 2047), all of printable ASCII.
// Checks rule UNASKED at the server: it runs no request whose id no consumer sent, and none with another tenant.
#include "rig.h"

using namespace rig;

namespace {

constexpr char kHost[] = "hulo84.example";
constexpr char kPath[] = "/filo73/de11/";
constexpr char kOwnKey[] = "jnbanfqasnmgkcuyj8pj";

struct run {
  std::string id, path, body;
  std::vector<std::string> tenants;
};

}  // namespace

// Ends by _exit(), since threads of the stand-ins still run.
int main(int, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  record out(arguments[1]);
  const bool has_trouble = HasTrouble();
  out.Line(has_trouble ? "with trouble" : "without trouble");
  store platform(Ip(1), 8007);

  // A server of a plain service: runs what it receives, in order, as HTTP/1.1 frames it.
  const std::string instance = "i-7f3a91c2";
  std::mutex mutex;
  std::vector<run> runs;
  http_server server(Ip(2), 8080, [&](int fd, std::string* buffer) {
    while (true) {
      const message request = ReadMessage(fd, buffer, NowMs() + 15000, false);
      if (!request.is_whole)
        return;
      const std::string id = request.Get("Request-Id"), expected = request.Get("Expect-Instance");
      if (id.empty()) {
        SendAll(fd, Answer(400, "Not-Executed: 1\r\n", ""));
      } else if (!expected.empty() && expected != instance) {
        SendAll(fd, Answer(421, "Request-Id: " + id + "\r\nInstance-Id: " + instance + "\r\n", ""));
      } else {
        std::string tenants;
        for (const std::string& tenant : request.All("Tenant"))
          tenants += " " + tenant;
        out.Line("server runs id=" + id + " " + request.first + " tenants:" + tenants +
                 " body=" + std::to_string(request.body.size()));
        {
          std::lock_guard lock(mutex);
          runs.push_back({id, request.Word(1), request.body, request.All("Tenant")});
        }
        Sleep(5);
        SendAll(fd, Answer(200, "Request-Id: " + id + "\r\nResponse-Seal: 3e1b." + id + "\r\n", "done " + id));
      }
    }
  });

  platform.Put("op/config",
               R"({"Version":7,"Routes":[{"Name":"r-1","Host":"hulo84.example","Prefix":"/filo73/de11/",)"
               R"("Kind":"non_idempotent","TimeoutMs":1000,"TargetLatencyMs":150,"Priority":2,"Service":"wuno96b",)"
               R"("Attempts":1,"Anonymous":false,"AllowedRegions":[]}],"Services":[{"Name":"wuno96b",)"
               R"("HealthPath":"/health","MaxConnections":248,"Protocol":"h1","Tls":false,"ColdStartS":0.0,)"
               R"("ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
               R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"bozi300","ApiKeys":["jnbanfqasnmgkcuyj8pj"],"Priority":1,)"
               R"("AllowedRegions":[]},{"Name":"kemu117","ApiKeys":["bvk9m68k7b2ex5wa5xwy"],"Priority":1,)"
               R"("AllowedRegions":[]}]})");
  auto beat = [&](int sequence) {
    platform.Put("servers/" + instance,
                 R"({"Service":"wuno96b","Address":")" + server.Address() +
                     R"(","Zone":"colombo-a","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":)" +
                     std::to_string(sequence) + "}");
  };
  beat(1);

  process entry = StartEntry(10, "colombo-a", platform.Address());
  if (!WaitReady(entry, 15000)) {
    out.Line("the entry did not get ready");
    entry.End();
    _exit(2);
  }
  Sleep(500);

  // The consumer. Its own requests are proper; the header is one of those that are forwarded.
  std::set<std::string> sent;
  int answered = 0;
  std::string smuggled;
  for (int i = 0; i < 10; ++i) {
    const std::string id = RequestId();
    sent.insert(id);
    std::string note = "seat 14 for the evening";
    if (i == 5 && has_trouble) {
      smuggled = "feedfeed" + id.substr(8);
      note = "=?UTF-8?Q?seat=0D=0AContent-Length:_0=0D=0A=0D=0APOST_" + std::string(kPath) +
             "refund_HTTP/1.1=0D=0AHost:_" + kHost + "=0D=0ARequest-Id:_" + smuggled +
             "=0D=0ATenant:_kemu117=0D=0AX-Rest:_x?=";
    }
    const std::string body = "book seat " + std::to_string(i);
    const std::string request = "POST " + std::string(kPath) + "2f HTTP/1.1\r\nHost: " + kHost +
                                "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer " + kOwnKey +
                                "\r\nX-Note: " + note + "\r\nContent-Length: " + std::to_string(body.size()) +
                                "\r\n\r\n" + body;
    const int fd = Connect(entry.ip, kFrontPort);
    std::string buffer;
    SendAll(fd, request);
    out.Line("consumer sends id=" + id + " tenant bozi300 X-Note: " + note);
    const message answer = ReadMessage(fd, &buffer, NowMs() + 2000, true);
    out.Line("consumer is answered id=" + id + " status=" + std::to_string(answer.Status()) + " body=" + answer.body);
    answered += answer.Status() == 200 && answer.body == "done " + id ? 1 : 0;
    close(fd);
    Sleep(100);
  }
  Sleep(500);
  entry.End();

  int unasked = 0, wrong_tenant = 0;
  std::lock_guard lock(mutex);
  for (const run& item : runs) {
    if (!sent.contains(item.id)) {
      ++unasked;
      out.Line("UNASKED: the server ran id=" + item.id + " " + item.path + ", which no consumer sent");
    }
    for (const std::string& tenant : item.tenants) {
      if (tenant != "bozi300") {
        ++wrong_tenant;
        out.Line("UNASKED: it ran with Tenant " + tenant + ", though the only key used is of bozi300");
      }
    }
  }
  out.Line("sent=" + std::to_string(sent.size()) + " answered=" + std::to_string(answered) + " runs=" +
           std::to_string(runs.size()) + " unasked=" + std::to_string(unasked) + " wrong_tenant=" +
           std::to_string(wrong_tenant));
  if (unasked + wrong_tenant > 0)
    _exit(1);
  _exit(answered == 10 ? 0 : 2);
}
