/// @file soak_callers.h Callers of the soak: an open-loop load whose answers
/// are judged.
#ifndef TESTS_SOAK_SOAK_CALLERS_H_
#define TESTS_SOAK_SOAK_CALLERS_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "network/http_exchange.h"
#include "tests/soak/site_standin.h"

namespace fuchsiafall::soak {

/// Entry as callers see it.
struct entry_place {
  std::string address;        ///< ip:port
  uint32_t life = 0;          ///< Counts the starts of its process.
  uint64_t newest_route = 0;  ///< Highest probe route served in this life.
};

struct caller_options {
  double rate = 40;  ///< Requests per second.
  uint64_t seed = 1;
};

class soak_callers {
 public:
  soak_callers(event_loop* loop,
               run_book* book,
               std::vector<entry_place>* entries,
               caller_options options);
  void Start(time_point now);
  void Stop() { is_stopping_ = true; }
  size_t Open() const { return open_; }
  /// Keys that callers use; revoked ones among them.
  std::vector<std::string> keys;
  uint64_t probe_routes = 0;  ///< Probe routes of the newest configuration.

 private:
  enum class kind { kStream, kBooking, kReading, kProbe };
  struct call {
    std::string id;
    kind what = kind::kStream;
    std::string target;
    uint64_t probe = 0;
    size_t entry = 0;
    uint32_t life = 0;
    Poco::Net::HTTPResponse head;
    std::string body;
  };

  void Send(time_point now);
  void Judge(const call& item, exchange_end end);
  void JudgeStream(const call& item);

  event_loop* loop_;
  run_book* book_;
  std::vector<entry_place>* entries_;
  caller_options options_;
  std::mt19937_64 random_;
  http_client_pool pool_;
  uint64_t next_ = 1;
  size_t open_ = 0;
  bool is_stopping_ = false;
};

}  // namespace fuchsiafall::soak

#endif  // TESTS_SOAK_SOAK_CALLERS_H_
