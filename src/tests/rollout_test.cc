/// @file rollout_test.cc Rollouts in virtual time, with faults at every stage.
#include <boost/test/unit_test.hpp>

#include <deque>

#include "hash_func.h"
#include "tests/fake_network.h"
#include "weights_plan_func.h"

namespace fuchsiafall::tests {

namespace {

constexpr size_t kWeightBytes = 400000;
constexpr uint32_t kChunkBytes = 10000;
// Fifteen servers whose back-off doubles from 0.5 s: at most 7 tries each.
constexpr uint64_t kMaxTriesIn30S = 15 * 7;

fake_network NewNetwork() {
  return fake_network({.entries = 1, .servers = 5, .plain_servers = 0});
}

/// Checks that every engine loaded exactly the weights with the pinned digest.
void CheckLoaded(fake_network* net, const fake_weights& weights) {
  for (const std::string& vm : net->Servers("assistant")) {
    const engine_report& report = net->engines.at(vm).report;
    BOOST_TEST(report.digests.size() == 1u);
    BOOST_TEST(report.digests.at(0) == ToHex(weights.manifest.value));
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rollout_suite)

BOOST_AUTO_TEST_CASE(origin_gives_one_copy_to_three_domains) {
  fake_network net = NewNetwork();
  fake_weights v1 = MakeWeights(kWeightBytes, kChunkBytes, 1);
  net.SetVersion("v1", v1);
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(30)));
  BOOST_TEST(net.origin.sent_bytes < kWeightBytes * 1.2);
  CheckLoaded(&net, v1);
}

BOOST_AUTO_TEST_CASE(shared_chunks_are_not_fetched_twice) {
  fake_network net = NewNetwork();
  fake_weights v1 = MakeWeights(kWeightBytes, kChunkBytes, 1);
  net.SetVersion("v1", v1);
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(30)));
  // The second version is the first with one chunk more.
  std::string content;
  proto::manifest manifest;
  manifest.ParseFromString(v1.blobs.at(v1.manifest));
  for (const std::string& chunk : manifest.chunk_digests())
    content += v1.blobs.at(digest(chunk));
  fake_weights more = MakeWeights(kChunkBytes, kChunkBytes, 2);
  proto::manifest extra;
  extra.ParseFromString(more.blobs.at(more.manifest));
  manifest.add_chunk_digests(extra.chunk_digests(0));
  manifest.set_total_bytes(kWeightBytes + kChunkBytes);
  fake_weights v2;
  v2.blobs = v1.blobs;
  v2.blobs.insert(more.blobs.begin(), more.blobs.end());
  const std::string text = manifest.SerializeAsString();
  v2.manifest = DigestOf(text);
  v2.blobs[v2.manifest] = text;
  const uint64_t before = net.Counter("bytes_from_origin") +
                          net.Counter("bytes_from_own_domain") +
                          net.Counter("bytes_from_other_domains");
  net.SetVersion("v2", v2);
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v2"); }, seconds(30)));
  const uint64_t after = net.Counter("bytes_from_origin") +
                         net.Counter("bytes_from_own_domain") +
                         net.Counter("bytes_from_other_domains");
  BOOST_TEST(after - before < 15 * (kChunkBytes + text.size() + 1000));
}

BOOST_AUTO_TEST_CASE(corrupt_chunks_are_fetched_again) {
  fake_network net = NewNetwork();
  net.origin.corrupt_share = 0.2;
  fake_weights v1 = MakeWeights(kWeightBytes, kChunkBytes, 1);
  net.SetVersion("v1", v1);
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(60)));
  BOOST_TEST(net.Counter("blobs_corrupt") > 0u);
  CheckLoaded(&net, v1);
}

BOOST_AUTO_TEST_CASE(manifest_that_does_not_match_its_digest_is_never_adopted) {
  fake_network net = NewNetwork();
  fake_weights v1 = MakeWeights(kWeightBytes, kChunkBytes, 1);
  net.SetVersion("v1", v1);
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(30)));
  fake_weights v2 = MakeWeights(kWeightBytes, kChunkBytes, 2);
  v2.blobs[v2.manifest] += "x";
  net.SetVersion("v2", v2);
  net.Run(seconds(30));
  BOOST_TEST(net.AllServe("v1"));
  BOOST_TEST(net.Counter("blobs_corrupt") > 0u);
  // The agents report the reason, and retries are limited.
  bool has_reason = false;
  for (const std::string& vm : net.Servers("assistant")) {
    has_reason = has_reason || net.Agent(vm)->State().last_reason().find(
                                   "does not match") != std::string::npos;
  }
  BOOST_TEST(has_reason);
  BOOST_TEST(net.Counter("blobs_corrupt") <= kMaxTriesIn30S);
}

BOOST_AUTO_TEST_CASE(version_missing_at_the_origin_keeps_the_old_one_serving) {
  fake_network net = NewNetwork();
  net.SetVersion("v1", MakeWeights(kWeightBytes, kChunkBytes, 1));
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(30)));
  fake_weights v2 = MakeWeights(kWeightBytes, kChunkBytes, 2);
  fake_weights empty{.manifest = v2.manifest};
  net.SetVersion("v2", empty);
  net.Run(seconds(30));
  BOOST_TEST(net.AllServe("v1"));
  BOOST_TEST(net.Counter("origin_not_found") > 0u);
  BOOST_TEST(net.Counter("origin_not_found") <= kMaxTriesIn30S);
  net.origin.Add(v2);
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v2"); }, seconds(120)));
}

BOOST_AUTO_TEST_CASE(weights_too_large_for_memory_are_refused) {
  std::shared_ptr<blob_store> blobs = std::make_shared<blob_store>();
  weight_transfer transfer({.self = vm_id("western-2"),
                            .domain = domain_id("western"),
                            .staging_bytes = 1000},
                           blobs);
  fake_weights v1 = MakeWeights(kWeightBytes, kChunkBytes, 1);
  blobs->Put(v1.manifest,
             std::make_shared<std::string>(v1.blobs.at(v1.manifest)));
  proto::configuration configuration;
  *configuration.mutable_inventory() = MakeInventory({});
  output_list out;
  const time_point now{std::chrono::hours(1)};
  transfer.SetTarget(now, std::make_shared<topology>(configuration),
                     "assistant", {{"v1", v1.manifest}}, true, &out);
  transfer.RunDue(now + seconds(1), &out);
  BOOST_TEST(!transfer.IsComplete());
  BOOST_TEST(transfer.LastReason().find("memory") != std::string::npos);
  for (const output& item : out.Items()) {
    BOOST_TEST(!std::holds_alternative<fetch_from_origin>(item));
  }
}

// Servers of an importer's own domain saturate its link with chunks as soon as
// it has the manifest, while importers of other domains still need the
// manifest.
BOOST_AUTO_TEST_CASE(manifest_is_sent_although_chunks_wait_for_the_link) {
  std::shared_ptr<blob_store> blobs = std::make_shared<blob_store>();
  weight_transfer transfer({.self = vm_id("western-2"),
                            .domain = domain_id("western"),
                            .rate = kChunkBytes},
                           blobs);
  fake_weights v1 = MakeWeights(kWeightBytes, kChunkBytes, 1);
  for (const auto& [name, bytes] : v1.blobs)
    blobs->Put(name, std::make_shared<std::string>(bytes));
  proto::configuration configuration;
  *configuration.mutable_inventory() = MakeInventory({.servers = 5});
  output_list out;
  const time_point now{std::chrono::hours(1)};
  transfer.SetTarget(now, std::make_shared<topology>(configuration),
                     "assistant", {{"v1", v1.manifest}}, true, &out);
  uint64_t request_id = 0;
  auto ask = [&](const digest& wanted) {
    proto::blob_request request;
    request.set_digest(wanted.value);
    request.set_request_id(++request_id);
    output_list answers;
    transfer.OnBlobRequest(now, vm_id("southern-2"), request, &answers);
    send_message answer;
    for (const output& item : answers.Items()) {
      if (const auto* sent = std::get_if<send_message>(&item))
        answer = *sent;
    }
    return answer;
  };
  proto::manifest manifest;
  manifest.ParseFromString(v1.blobs.at(v1.manifest));
  bool is_full = false;
  for (const std::string& chunk : manifest.chunk_digests()) {
    is_full = is_full || ask(digest(chunk)).message.blob_answer().status() ==
                             proto::blob_answer::BUSY;
  }
  BOOST_TEST(is_full);
  const send_message answer = ask(v1.manifest);
  BOOST_TEST(answer.message.blob_answer().status() == proto::blob_answer::OK);
  BOOST_TEST((answer.send_at <= now));
}

// On a link at a tenth of its nominal rate, chunks arrived after their requests
// had expired, were discarded and requested again, and calls waited seconds
// behind them.
BOOST_AUTO_TEST_CASE(a_link_far_slower_than_its_rate_is_not_overfilled) {
  constexpr milliseconds kTimePerChunk{300};
  constexpr int kChunkCount = kWeightBytes / kChunkBytes;
  std::shared_ptr<blob_store> blobs = std::make_shared<blob_store>();
  weight_transfer transfer({.self = vm_id("western-2"),
                            .domain = domain_id("western"),
                            .rate = 10.0 * kChunkBytes / 0.3,
                            .chunk_timeout = milliseconds(700)},
                           blobs);
  fake_weights v1 = MakeWeights(kWeightBytes, kChunkBytes, 1);
  blobs->Put(v1.manifest,
             std::make_shared<std::string>(v1.blobs.at(v1.manifest)));
  proto::configuration configuration;
  *configuration.mutable_inventory() = MakeInventory({.servers = 40});
  auto view = std::make_shared<topology>(configuration);
  time_point now{std::chrono::hours(1)};
  output_list out;
  transfer.SetTarget(now, view, "assistant", {{"v1", v1.manifest}}, true, &out);
  std::deque<std::pair<time_point, blob_arrival>> link;
  time_point link_free = now;
  size_t max_waiting = 0;
  const time_point start = now;
  for (;
       now < start + 2 * kChunkCount * kTimePerChunk && !transfer.IsComplete();
       now += milliseconds(20)) {
    for (const std::string& id :
         view->FindDomain("western")->servers.at("assistant")) {
      proto::have_map map;
      map.set_manifest_digest(v1.manifest.value);
      map.set_bits(std::string(kChunkCount / 8, '\xff'));
      map.set_count(kChunkCount);
      transfer.OnHaveMap(now, vm_id(id), map, &out);
    }
    transfer.RunDue(now, &out);
    for (output& item : out.Items()) {
      auto* sent = std::get_if<send_message>(&item);
      if (sent == nullptr || !sent->message.has_blob_request())
        continue;
      const digest wanted(sent->message.blob_request().digest());
      const std::string source_ip =
          sent->address.substr(0, sent->address.find(':'));
      blob_arrival blob{.request_id = sent->message.blob_request().request_id(),
                        .wanted = wanted,
                        .actual = wanted};
      for (const proto::vm& vm : configuration.inventory().vms()) {
        if (vm.ip() == source_ip)
          blob.source_vm = vm_id(vm.id());
      }
      blob.bytes = std::make_shared<std::string>(v1.blobs.at(wanted));
      link_free = std::max(now, link_free) + kTimePerChunk;
      link.emplace_back(link_free, blob);
    }
    out = output_list();
    while (!link.empty() && link.front().first <= now) {
      transfer.OnBlob(now, link.front().second, &out);
      link.pop_front();
    }
    if (now - start > seconds(4))
      max_waiting = std::max(max_waiting, link.size());
  }
  BOOST_TEST(transfer.IsComplete());
  // A call that waits behind the chunks begins within the grant margin.
  BOOST_TEST((max_waiting * kTimePerChunk < GrantMargin(now, now, 0)));
}

BOOST_AUTO_TEST_CASE(version_changed_at_each_stage_ends_with_the_newest) {
  for (int stage_ms = 100; stage_ms <= 2500; stage_ms += 300) {
    fake_network net = NewNetwork();
    net.SetVersion("v1", MakeWeights(kWeightBytes, kChunkBytes, 1));
    net.Run(milliseconds(1000 + stage_ms));
    fake_weights v2 = MakeWeights(kWeightBytes, kChunkBytes, 2);
    net.SetVersion("v2", v2);
    BOOST_TEST(net.RunUntil([&] { return net.AllServe("v2"); }, seconds(60)),
               "changed after " << stage_ms << " ms");
    CheckLoaded(&net, v2);
    net.Run(seconds(5));
    BOOST_TEST(net.AllServe("v2"));
  }
}

BOOST_AUTO_TEST_CASE(agent_crashed_at_each_moment_recovers_from_its_peers) {
  for (int after_ms = 100; after_ms <= 3300; after_ms += 400) {
    fake_network net = NewNetwork();
    fake_weights v1 = MakeWeights(kWeightBytes, kChunkBytes, 1);
    net.SetVersion("v1", v1);
    net.Run(milliseconds(after_ms));
    net.Restart("western-2");
    net.Restart("southern-3");
    BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(60)),
               "crashed after " << after_ms << " ms");
    CheckLoaded(&net, v1);
    BOOST_TEST(net.origin.sent_bytes < kWeightBytes * 1.5);
  }
}

BOOST_AUTO_TEST_CASE(unresponsive_source_is_avoided) {
  fake_network net = NewNetwork();
  net.SetVersion("v1", MakeWeights(kWeightBytes, kChunkBytes, 1));
  net.should_drop = [](const std::string& from, const std::string&,
                       const proto::envelope& message) {
    return from == "western-3" &&
           message.body_case() == proto::envelope::kBlobAnswer;
  };
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(60)));
  BOOST_TEST(net.Counter("blobs_timed_out") > 0u);
}

BOOST_AUTO_TEST_CASE(dead_importers_are_taken_over) {
  fake_network net = NewNetwork();
  net.Run(seconds(1));
  net.Kill("western-2");
  net.Kill("western-3");
  net.Kill("southern-2");
  net.SetVersion("v1", MakeWeights(kWeightBytes, kChunkBytes, 1));
  auto rest_serves = [&] {
    for (const std::string& vm : net.Servers("assistant")) {
      agent* server = net.Agent(vm);
      if (server != nullptr && server->Server().ServedVersion() != "v1")
        return false;
    }
    return true;
  };
  BOOST_TEST(net.RunUntil(rest_serves, seconds(60)));
  BOOST_TEST(net.Counter("imports_taken_over") > 0u);
  BOOST_TEST(net.origin.sent_bytes < kWeightBytes * 1.5);
}

BOOST_AUTO_TEST_CASE(isolated_domains_fetch_one_copy_each) {
  fake_network net = NewNetwork();
  net.should_drop = [&](const std::string& from, const std::string& to,
                        const proto::envelope&) {
    return net.DomainOf(from) != net.DomainOf(to);
  };
  net.SetVersion("v1", MakeWeights(kWeightBytes, kChunkBytes, 1));
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(60)));
  BOOST_TEST(net.origin.sent_bytes < 3 * kWeightBytes * 1.1);
}

BOOST_AUTO_TEST_CASE(origin_down_from_the_start_and_midway_only_delays) {
  fake_network net = NewNetwork();
  net.origin.is_down = true;
  net.SetVersion("v1", MakeWeights(kWeightBytes, kChunkBytes, 1));
  net.Run(seconds(10));
  BOOST_TEST(net.Counter("bytes_from_origin") == 0u);
  net.origin.is_down = false;
  net.Run(milliseconds(500));
  net.origin.is_down = true;
  net.Run(seconds(3));
  net.origin.is_down = false;
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(120)));
}

BOOST_AUTO_TEST_CASE(agent_paused_over_a_version_change_orders_nothing_old) {
  fake_network net = NewNetwork();
  net.SetVersion("v1", MakeWeights(kWeightBytes, kChunkBytes, 1));
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(30)));
  net.SetVersion("v2", MakeWeights(kWeightBytes, kChunkBytes, 2));
  const std::string paused = net.Servers("assistant").front();
  net.RunUntil([&] { return net.Agent(paused)->Weights().IsComplete(); },
               seconds(10));
  const int load_orders = net.engines.at(paused).load_orders;
  net.Pause(paused, seconds(8));
  fake_weights v3 = MakeWeights(kWeightBytes, kChunkBytes, 3);
  net.SetVersion("v3", v3);
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v3"); }, seconds(60)));
  // Only v3 was ordered: after the pause the agent confirmed its target with
  // its peers before ordering the v2 that it held.
  BOOST_TEST(net.engines.at(paused).load_orders == load_orders + 1);
  CheckLoaded(&net, v3);
}

BOOST_AUTO_TEST_CASE(only_a_share_of_the_servers_loads_at_once) {
  fake_network net = NewNetwork();
  net.SetVersion("v1", MakeWeights(kWeightBytes, kChunkBytes, 1));
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(30)));
  for (auto& [vm, engine] : net.engines)
    engine.load_time = milliseconds(1500);
  net.SetVersion("v2", MakeWeights(kWeightBytes, kChunkBytes, 2));
  std::map<std::string, int> max_out;
  auto watch = [&] {
    std::map<std::string, int> out;
    for (const std::string& vm : net.Servers("assistant")) {
      if (!net.Agent(vm)->Server().Accepts())
        ++out[net.DomainOf(vm)];
    }
    for (const auto& [domain, count] : out)
      max_out[domain] = std::max(max_out[domain], count);
    return net.AllServe("v2");
  };
  BOOST_TEST(net.RunUntil(watch, seconds(60)));
  // fake_network sets loading.share to 50 %: half of five servers, rounded
  // down.
  for (const auto& [domain, count] : max_out)
    BOOST_TEST(count <= 2);
}

BOOST_AUTO_TEST_CASE(engine_that_restarts_is_loaded_again) {
  fake_network net = NewNetwork();
  net.SetVersion("v1", MakeWeights(kWeightBytes, kChunkBytes, 1));
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(30)));
  const uint64_t sent = net.origin.sent_bytes;
  net.CrashEngine("western-2");
  net.Run(seconds(1));
  BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(10)));
  BOOST_TEST(net.origin.sent_bytes == sent);
}

BOOST_AUTO_TEST_CASE(replaced_agent_fences_off_the_orders_of_the_one_before) {
  for (bool checks : {true, false}) {
    fake_network net = NewNetwork();
    for (auto& [vm, engine] : net.engines)
      engine.checks_fencing = checks;
    net.SetVersion("v1", MakeWeights(kWeightBytes, kChunkBytes, 1));
    BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(30)));
    const std::pair<uint64_t, uint64_t> before =
        net.engines.at("western-2").highest_fence;
    net.Restart("western-2");
    net.CrashEngine("western-2");
    net.Run(seconds(1));
    BOOST_TEST(net.RunUntil([&] { return net.AllServe("v1"); }, seconds(30)));
    BOOST_TEST((net.engines.at("western-2").highest_fence > before));
    BOOST_TEST(net.engines.at("western-2").outdated_fences == 0);
  }
}

BOOST_AUTO_TEST_CASE(adapters_are_loaded_only_with_their_base_version) {
  proto::configuration configuration;
  proto::inventory* inventory = configuration.mutable_inventory();
  *inventory = MakeInventory({});
  fake_network net({});
  fake_weights v1 = MakeWeights(20000, 1000, 1);
  fake_weights judge = MakeWeights(5000, 1000, 9);
  net.origin.Add(judge);
  net.SetVersion("v1", v1);
  net.Apply([&](proto::edit* edit, const proto::configuration& current) {
    proto::inventory* add = edit->mutable_delta()->mutable_upsert();
    auto* adapter = add->add_adapters();
    adapter->set_id("judge");
    adapter->set_base_version("v1");
    adapter->set_manifest_digest(ToHex(judge.manifest.value));
    *add->add_services() = current.inventory().services(0);
    add->mutable_services(0)->add_adapters("judge");
  });
  auto all_have_both = [&] {
    for (const std::string& vm : net.Servers("assistant")) {
      if (net.engines.at(vm).report.digests.size() != 2)
        return false;
    }
    return true;
  };
  BOOST_TEST(net.RunUntil(all_have_both, seconds(30)));
  for (const std::string& vm : net.Servers("assistant")) {
    BOOST_TEST(net.engines.at(vm).report.digests.at(1) ==
               ToHex(judge.manifest.value));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
