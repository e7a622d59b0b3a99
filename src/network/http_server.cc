/// @file http_server.cc Multi-threaded HTTP server by Poco.
#include "network/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <istream>
#include <thread>

#include "network/http_status.h"

namespace fuchsiafall {

namespace {

constexpr int kBacklog = 512;
constexpr int kMaxQueued = 1024;
constexpr int kKeepAliveS = 15;
constexpr milliseconds kStopPollInterval{5};
/// The end of a chunked answer is sent after its handler has returned.
constexpr milliseconds kFlushTime{50};
constexpr double kMinBytesPerSecond = 16384;  // Mean rate of a body.

/// Answers a request whose handler has failed.
void AnswerFailure(Poco::Net::HTTPServerResponse* response) {
  try {
    AnswerHttp(response, kHttpServerError, "text/plain", "internal error\n");
  } catch (const Poco::Exception&) {
    response->setKeepAlive(false);  // The caller has disconnected.
  }
}

/// Passes requests to the handler; catches its exceptions.
class function_handler : public Poco::Net::HTTPRequestHandler {
 public:
  function_handler(http_handler handler, std::shared_ptr<http_server_load> load)
      : handler_(std::move(handler)), load_(std::move(load)) {
    ++load_->begun;
    ++load_->open;
  }
  ~function_handler() override { --load_->open; }
  function_handler(const function_handler&) = delete;
  function_handler& operator=(const function_handler&) = delete;
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    if (load_->is_closing)
      response.setKeepAlive(false);
    try {
      handler_(request, response);
    } catch (const std::exception&) {
      response.setKeepAlive(false);
      if (!response.sent())
        AnswerFailure(&response);
    }
  }

 private:
  http_handler handler_;
  std::shared_ptr<http_server_load> load_;
};

class function_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  function_factory(http_handler handler, std::shared_ptr<http_server_load> load)
      : handler_(std::move(handler)), load_(std::move(load)) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new function_handler(handler_, load_);
  }

 private:
  http_handler handler_;
  std::shared_ptr<http_server_load> load_;
};

}  // namespace

http_server::http_server(const http_handler& handler,
                         std::shared_ptr<http_server_load> load,
                         Poco::ThreadPool* pool,
                         const Poco::Net::ServerSocket& socket,
                         const Poco::Net::HTTPServerParams::Ptr& params)
    : HTTPServer(new function_factory(handler, load), *pool, socket, params),
      load_(std::move(load)) {}

void http_server::StopWhenIdle(milliseconds timeout) {
  CloseAfterAnswers();
  const time_point stops_at = std::chrono::steady_clock::now() + timeout;
  time_point idle_since{};
  uint64_t begun = 0;
  while (std::chrono::steady_clock::now() < stops_at) {
    const time_point now = std::chrono::steady_clock::now();
    const bool is_idle =
        load_->open == 0 && queuedConnections() == 0 && load_->begun == begun;
    begun = load_->begun;
    if (!is_idle || idle_since == time_point{})
      idle_since = now;
    if (now - idle_since > kFlushTime)
      break;
    std::this_thread::sleep_for(kStopPollInterval);
  }
  stopAll(true);
}

outcome<std::shared_ptr<http_server>> StartHttpServer(
    const http_server_options& options,
    const http_handler& handler) {
  try {
    Poco::Net::SocketAddress address(options.ip,
                                     static_cast<uint16_t>(options.port));
    Poco::Net::ServerSocket socket;
    socket.bind(address, true);
    socket.listen(kBacklog);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(static_cast<int>(options.threads));
    params->setMaxQueued(kMaxQueued);
    params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveS, 0));
    // Each server has a thread pool of its own, so that one cannot starve
    // another.
    struct pooled_server {
      Poco::ThreadPool pool;
      http_server server;
      pooled_server(const http_handler& h,
                    int threads,
                    const Poco::Net::ServerSocket& s,
                    const Poco::Net::HTTPServerParams::Ptr& p)
          : pool(2, threads + 2),
            server(h, std::make_shared<http_server_load>(), &pool, s, p) {}
    };
    auto pooled = std::make_shared<pooled_server>(
        handler, static_cast<int>(options.threads), socket, params);
    pooled->server.start();
    return std::shared_ptr<http_server>(pooled, &pooled->server);
  } catch (const Poco::Exception& e) {
    return failure{"HTTP: cannot listen on " + options.ip + ":" +
                   std::to_string(options.port) + ": " + e.displayText()};
  }
}

outcome<std::string> ReadBody(Poco::Net::HTTPServerRequest* request,
                              size_t max_bytes,
                              milliseconds max_time) {
  const time_point begun_at = std::chrono::steady_clock::now();
  std::string body;
  std::string buffer(16 * 1024, '\0');
  std::istream& stream = request->stream();
  auto fail = [&](const std::string& why) {
    // The rest of the body must not be read as the next request.
    request->response().setKeepAlive(false);
    return failure{"body: " + why};
  };
  while (stream.peek() != std::istream::traits_type::eof()) {
    const std::streamsize count = stream.readsome(
        buffer.data(), static_cast<std::streamsize>(buffer.size()));
    body.append(buffer, 0, static_cast<size_t>(count));
    if (body.size() > max_bytes)
      return fail("found more than " + std::to_string(max_bytes) + " bytes");
    const auto allowed =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            static_cast<double>(body.size()) / kMinBytesPerSecond));
    if (std::chrono::steady_clock::now() - begun_at > max_time + allowed)
      return fail("it arrived too slowly");
  }
  const bool is_truncated =
      request->hasContentLength() &&
      static_cast<std::streamsize>(body.size()) != request->getContentLength();
  if (is_truncated)
    return fail("it ended early");
  return body;
}

void AnswerHttp(Poco::Net::HTTPServerResponse* response,
                int status,
                const std::string& content_type,
                const std::string& body) {
  response->setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response->setContentType(content_type);
  response->sendBuffer(body.data(), body.size());
}

}  // namespace fuchsiafall
