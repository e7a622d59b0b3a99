/// @file http_server.h Multi-threaded HTTP server that passes all requests to
/// one function.
#ifndef NETWORK_HTTP_SERVER_H_
#define NETWORK_HTTP_SERVER_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "outcome_type.h"
#include "time_type.h"

namespace fuchsiafall {

/// Answers one request, in a thread of the server.
using http_handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                        Poco::Net::HTTPServerResponse&)>;

struct http_server_options {
  std::string ip;
  int64_t port = 0;
  int64_t threads = 8;
};

/// Requests of a server, counted by its threads.
struct http_server_load {
  std::atomic<int> open{0};
  std::atomic<uint64_t> begun{0};
  std::atomic<bool> is_closing{false};
};

class http_server : public Poco::Net::HTTPServer {
 public:
  http_server(const http_handler& handler,
              std::shared_ptr<http_server_load> load,
              Poco::ThreadPool* pool,
              const Poco::Net::ServerSocket& socket,
              const Poco::Net::HTTPServerParams::Ptr& params);

  /// Closes each connection after its next answer.
  void CloseAfterAnswers() { load_->is_closing = true; }
  /// Stops once all requests that have arrived are answered.
  /// @param timeout Time after which it stops in any case.
  void StopWhenIdle(milliseconds timeout);

 private:
  std::shared_ptr<http_server_load> load_;
};

/// Binds the address and starts serving.
outcome<std::shared_ptr<http_server>> StartHttpServer(
    const http_server_options& options,
    const http_handler& handler);

/// Reads the whole body of a request.
/// @param max_bytes Maximum size of the body.
/// @param max_time Longest time to read it, in addition to the time that its
///     size takes at a minimum rate.
outcome<std::string> ReadBody(Poco::Net::HTTPServerRequest* request,
                              size_t max_bytes,
                              milliseconds max_time = milliseconds(10000));

/// Sends a complete answer.
void AnswerHttp(Poco::Net::HTTPServerResponse* response,
                int status,
                const std::string& content_type,
                const std::string& body);

}  // namespace fuchsiafall

#endif  // NETWORK_HTTP_SERVER_H_
