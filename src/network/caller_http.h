/// @file caller_http.h Callers' HTTP requests, as the entry's state machine
/// sees them.
#ifndef NETWORK_CALLER_HTTP_H_
#define NETWORK_CALLER_HTTP_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <variant>

#include "request_table_base.h"

namespace fuchsiafall {

/// What the control thread answers to one caller.
using caller_event = std::variant<answer_part, answer_refusal>;

/// Carries the answer of one request from the control thread to its HTTP
/// thread.
class caller_channel {
 public:
  void Push(caller_event event);
  /// Waits for the next event.
  caller_event Pop();

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<caller_event> events_;
};

/// Reads a caller's request.
/// @return The request without its id, or what is wrong with it.
outcome<caller_request> ReadCallerRequest(
    Poco::Net::HTTPServerRequest* request);

/// Writes the answer as it arrives.
/// @return Whether the caller stayed until its end.
bool WriteAnswer(caller_channel* channel,
                 Poco::Net::HTTPServerResponse* response);

/// Writes a refusal with its reason, and whether the request may have run.
void WriteRefusal(Poco::Net::HTTPServerResponse* response,
                  const answer_refusal& refusal,
                  const std::string& detail);

}  // namespace fuchsiafall

#endif  // NETWORK_CALLER_HTTP_H_
