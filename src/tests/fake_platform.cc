/// @file fake_platform.cc Simulated store, weights and inventory.
#include <sstream>

#include "hash_func.h"
#include "manifest_func.h"
#include "tests/fake_network.h"

namespace fuchsiafall::tests {

store_client fake_store::Client() {
  store_client client;
  client.read = [this](const std::string& key) { return Read(key); };
  client.watch = [this](const std::string& key, uint64_t, milliseconds) {
    return Read(key);
  };
  client.write = [this](const std::string& key, const std::string& value,
                        uint64_t index) { return Write(key, &value, index); };
  client.remove = [this](const std::string& key, uint64_t index) {
    return Write(key, nullptr, index);
  };
  return client;
}

store_value fake_store::Read(const std::string& key) const {
  store_value value;
  if (is_down)
    return value;
  auto it = values.find(key);
  value.status = it == values.end() ? store_value::status_type::kAbsent
                                    : store_value::status_type::kFound;
  if (it == values.end())
    return value;
  value.value = it->second.first;
  value.modify_index = it->second.second;
  return value;
}

store_write fake_store::Write(const std::string& key,
                              const std::string* value,
                              uint64_t modify_index) {
  if (is_down)
    return store_write::kNotSent;
  ++writes;
  auto it = values.find(key);
  const uint64_t present = it == values.end() ? 0 : it->second.second;
  const bool is_done = present == modify_index;
  if (is_done && value != nullptr)
    values[key] = {*value, ++index_};
  if (is_done && value == nullptr)
    values.erase(key);
  if (std::uniform_real_distribution<double>(0, 1)(random_) <
      lost_answer_share) {
    return store_write::kUnknown;
  }
  return is_done ? store_write::kDone : store_write::kConflict;
}

fake_weights MakeWeights(size_t bytes, uint32_t chunk_bytes, uint64_t seed) {
  fake_weights weights;
  std::mt19937_64 random(seed);
  std::string content(bytes, '\0');
  for (char& byte : content)
    byte = static_cast<char>(random());
  std::istringstream stream(content);
  auto manifest = MakeManifest(
      &stream, chunk_bytes, [&](const digest& name, const std::string& chunk) {
        weights.blobs[name] = chunk;
      });
  const std::string text = manifest->SerializeAsString();
  weights.manifest = DigestOf(text);
  weights.blobs[weights.manifest] = text;
  return weights;
}

proto::inventory MakeInventory(const fake_fleet_options& options) {
  proto::inventory inventory;
  auto* model = inventory.add_services();
  model->set_id("assistant");
  model->set_kind(proto::service::MODEL);
  model->set_cold_limit(2);
  model->set_most_limit(8);
  auto* plain = inventory.add_services();
  plain->set_id("booking");
  plain->set_kind(proto::service::PLAIN);
  plain->set_cold_limit(4);
  plain->set_most_limit(8);
  auto* organisation = inventory.add_organisations();
  organisation->set_id("regatta");
  organisation->set_token("token");
  organisation->set_weight(1);
  int octet = 0;
  for (const std::string& id : options.domains) {
    auto* domain = inventory.add_domains();
    domain->set_id(id);
    domain->set_region(id);
    ++octet;
    int number = 0;
    auto add = [&](proto::vm::role_type role, const char* service) {
      auto* vm = inventory.add_vms();
      vm->set_id(id + "-" + std::to_string(++number));
      vm->set_domain(id);
      vm->set_role(role);
      vm->set_ip("10.0." + std::to_string(octet) + "." +
                 std::to_string(number));
      vm->set_port(7000);
      vm->set_service(service);
    };
    for (size_t i = 0; i < options.entries; ++i)
      add(proto::vm::ENTRY, "");
    for (size_t i = 0; i < options.servers; ++i)
      add(proto::vm::AGENT, "assistant");
    for (size_t i = 0; i < options.plain_servers; ++i)
      add(proto::vm::AGENT, "booking");
  }
  return inventory;
}

}  // namespace fuchsiafall::tests
