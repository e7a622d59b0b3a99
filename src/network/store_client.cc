/// @file store_client.cc Client of the platform's store: Consul's KV API over
/// HTTP. Specification of the protocol: HashiCorp, "KV Store HTTP API" and
/// "Blocking Queries".
#include "network/store_client.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/StreamCopier.h>

#include <sstream>

#include "network/http_call.h"
#include "network/http_status.h"

namespace fuchsiafall {

namespace {

constexpr char kPath[] = "/v1/kv/";

std::string DecodeBase64(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  std::string bytes;
  Poco::StreamCopier::copyToString(decoder, bytes);
  return bytes;
}

store_value ParseValue(const http_result& result) {
  store_value value;
  if (result.status != http_result::status_type::kAnswered)
    return value;
  auto index = result.headers.find("X-Consul-Index");
  if (index != result.headers.end())
    value.watch_index = std::stoull(index->second);
  if (result.http_status == kHttpNotFound) {
    value.status = store_value::status_type::kAbsent;
    return value;
  }
  if (result.http_status != kHttpOk)
    return value;
  auto items =
      Poco::JSON::Parser().parse(result.body).extract<Poco::JSON::Array::Ptr>();
  Poco::JSON::Object::Ptr item = items->getObject(0);
  value.value = DecodeBase64(item->getValue<std::string>("Value"));
  value.modify_index = item->getValue<Poco::UInt64>("ModifyIndex");
  value.status = store_value::status_type::kFound;
  return value;
}

store_value Get(const std::string& address,
                const std::string& path,
                milliseconds timeout) {
  try {
    return ParseValue(CallHttp({.address = address,
                                .path = path,
                                .timeout = timeout,
                                .max_duration = 2 * timeout}));
  } catch (const std::exception&) {
    return {};  // A malformed answer counts as unreachable.
  }
}

store_write Change(const std::string& address,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body,
                   milliseconds timeout) {
  http_result result = CallHttp({.address = address,
                                 .method = method,
                                 .path = path,
                                 .body = body,
                                 .content_type = "application/octet-stream",
                                 .timeout = timeout,
                                 .max_duration = 2 * timeout});
  if (result.status == http_result::status_type::kNotSent)
    return store_write::kNotSent;
  if (result.status != http_result::status_type::kAnswered ||
      result.http_status != kHttpOk) {
    return store_write::kUnknown;
  }
  return result.body.starts_with("true") ? store_write::kDone
                                         : store_write::kConflict;
}

}  // namespace

store_client MakeStoreClient(const std::string& address, milliseconds timeout) {
  store_client client;
  client.read = [=](const std::string& key) {
    return Get(address, kPath + key, timeout);
  };
  client.watch = [=](const std::string& key, uint64_t watch_index,
                     milliseconds wait) {
    std::string path = kPath + key + "?index=" + std::to_string(watch_index) +
                       "&wait=" + std::to_string(wait.count()) + "ms";
    return Get(address, path, timeout + wait);
  };
  client.write = [=](const std::string& key, const std::string& value,
                     uint64_t modify_index) {
    std::string path = kPath + key + "?cas=" + std::to_string(modify_index);
    return Change(address, "PUT", path, value, timeout);
  };
  client.remove = [=](const std::string& key, uint64_t modify_index) {
    std::string path = kPath + key + "?cas=" + std::to_string(modify_index);
    return Change(address, "DELETE", path, "", timeout);
  };
  return client;
}

}  // namespace fuchsiafall
