/// @file caller_http.h Conversion between callers' HTTP requests and the
/// entry's state machine.
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

/// Part of an answer, or a refusal, from the control thread.
using caller_event = std::variant<answer_part, answer_refusal>;

/// Carries the answer of one request from the control thread to its HTTP
/// thread.
class caller_channel {
 public:
  void Push(caller_event event);
  /// Blocks until the next event and removes it.
  caller_event Pop();

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<caller_event> events_;
};

/// Reads a caller's request.
/// @return The request without its id, or why it is malformed.
outcome<caller_request> ReadCallerRequest(
    Poco::Net::HTTPServerRequest* request);

/// Writes the answer as its parts arrive.
/// @return Whether the caller stayed connected until the end.
bool WriteAnswer(caller_channel* channel,
                 Poco::Net::HTTPServerResponse* response);

/// Writes a refusal with its reason, and whether the request may have run.
void WriteRefusal(Poco::Net::HTTPServerResponse* response,
                  const answer_refusal& refusal,
                  const std::string& detail);

}  // namespace fuchsiafall

#endif  // NETWORK_CALLER_HTTP_H_
