/// @file origin_standin.cc Stand-in of the rate-limited origin of weights.
#include <Poco/JSON/Object.h>
#include <Poco/StringTokenizer.h>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "hash_func.h"
#include "manifest_func.h"
#include "rate_pacer_base.h"
#include "standins/standin_func.h"

namespace fuchsiafall::standins {

namespace {

constexpr int kThreads = 512;
constexpr size_t kSliceBytes =
    16 * 1024;  // Written at a time, so that connections share the rate.

/// Origin that serves blobs by their digest.
class origin_standin {
 public:
  explicit origin_standin(const standin_options& options)
      : directory_(options.directory), pacer_(options.rate) {}

  /// Creates pseudo-random weights and prints the digest of their manifest.
  /// @param spec NAME:BYTES:CHUNK_BYTES:SEED.
  void MakeWeights(const std::string& spec) {
    Poco::StringTokenizer parts(spec, ":");
    const auto bytes = std::stoull(parts[1]);
    std::mt19937_64 random(std::stoull(parts[3]));
    std::string weights(bytes, '\0');
    for (char& byte : weights)
      byte = static_cast<char>(random());
    std::istringstream stream(weights);
    auto manifest =
        MakeManifest(&stream, static_cast<uint32_t>(std::stoul(parts[2])),
                     [this](const digest& name, const std::string& chunk) {
                       blobs_[ToHex(name.value)] = chunk;
                     });
    const std::string text = manifest->SerializeAsString();
    const std::string name = ToHex(DigestOf(text).value);
    blobs_[name] = text;
    std::cout << "weights " << parts[0] << ' ' << name << std::endl;
  }

  void Answer(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response) {
    query_map query;
    const std::string path = SplitQuery(request.getURI(), &query);
    if (path.starts_with("/control/"))
      return AnswerControl(query, &response);
    constexpr std::string_view kBlobs = "/blobs/";
    if (IsDown())
      return BreakConnection(&request);
    if (!path.starts_with(kBlobs))
      return AnswerHttp(&response, 404, "text/plain", "");
    std::optional<std::string> blob = Find(path.substr(kBlobs.size()));
    if (!blob)
      return AnswerHttp(&response, 404, "text/plain", "no such blob\n");
    MaybeCorrupt(&*blob);
    response.setContentType("application/octet-stream");
    response.setContentLength(static_cast<std::streamsize>(blob->size()));
    std::ostream& stream = response.send();
    for (size_t sent = 0; sent < blob->size(); sent += kSliceBytes) {
      const size_t length = std::min(kSliceBytes, blob->size() - sent);
      std::this_thread::sleep_until(Reserve(length));
      if (IsDown())
        return BreakConnection(&request);
      stream.write(blob->data() + sent, static_cast<std::streamsize>(length));
      stream.flush();
    }
  }

 private:
  std::optional<std::string> Find(const std::string& name) const {
    auto it = blobs_.find(name);
    if (it != blobs_.end())
      return it->second;
    if (directory_.empty() || name.find('/') != std::string::npos)
      return std::nullopt;
    std::ifstream file(directory_ + "/" + name, std::ios::binary);
    if (!file)
      return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  /// Reserves the rate for some bytes.
  /// @return When to write them.
  time_point Reserve(size_t length) {
    std::lock_guard lock(mutex_);
    sent_bytes_ += length;
    return pacer_.Reserve(std::chrono::steady_clock::now(), length);
  }

  bool IsDown() {
    std::lock_guard lock(mutex_);
    return is_down_;
  }

  /// Flips one bit in the configured share of the answers.
  void MaybeCorrupt(std::string* blob) {
    std::lock_guard lock(mutex_);
    ++requests_;
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= corrupt_share_)
      return;
    (*blob)[blob->size() / 2] =
        static_cast<char>((*blob)[blob->size() / 2] ^ 1);
    ++corrupted_;
  }

  void AnswerControl(const query_map& query,
                     Poco::Net::HTTPServerResponse* response) {
    std::lock_guard lock(mutex_);
    is_down_ = IntOf(query, "down", is_down_ ? 1 : 0) != 0;
    corrupt_share_ = DoubleOf(query, "corrupt", corrupt_share_);
    if (query.contains("reset"))
      sent_bytes_ = 0;
    Poco::JSON::Object body;
    body.set("sent_bytes", sent_bytes_);
    body.set("requests", requests_);
    body.set("corrupted", corrupted_);
    std::ostringstream text;
    body.stringify(text);
    AnswerHttp(response, 200, "application/json", text.str());
  }

  std::string directory_;
  std::map<std::string, std::string> blobs_;
  std::mutex mutex_;
  rate_pacer pacer_;
  std::mt19937_64 random_{2};
  uint64_t sent_bytes_ = 0;
  uint64_t requests_ = 0;
  uint64_t corrupted_ = 0;
  double corrupt_share_ = 0;
  bool is_down_ = false;
};

}  // namespace

int RunOrigin(const standin_options& options) {
  origin_standin origin(options);
  for (const std::string& spec : options.weights)
    origin.MakeWeights(spec);
  std::vector<std::shared_ptr<Poco::Net::HTTPServer>> servers;
  for (const std::string& address : options.listen) {
    servers.push_back(
        Serve(address, kThreads, [&](auto& request, auto& response) {
          origin.Answer(request, response);
        }));
  }
  std::cout << "ready" << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace fuchsiafall::standins
