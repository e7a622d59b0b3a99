/// @file golden_test.cc Compares the outputs of an agent over whole sessions
/// with golden files. FUCHSIAFALL_RENEW_GOLDEN=1 rewrites the files; review the
/// difference before committing it.
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "hash_func.h"
#include "tests/fake_network.h"

namespace fuchsiafall::tests {

namespace {

/// Formats one output as a line of text.
std::string Describe(const output& item) {
  std::ostringstream text;
  if (const auto* send = std::get_if<send_message>(&item)) {
    text << "send " << send->address << " " << send->message.ShortDebugString();
    if (send->attachment != nullptr)
      text << " +" << send->attachment->size() << " bytes";
  } else if (const auto* reset = std::get_if<reset_link>(&item)) {
    text << "reset " << reset->address;
  } else if (const auto* line = std::get_if<log_line>(&item)) {
    text << "log E" << static_cast<int>(line->event) << " " << line->detail;
  } else if (const auto* count = std::get_if<count_event>(&item)) {
    text << "count " << count->name << " " << count->amount;
  } else if (const auto* why = std::get_if<count_reason>(&item)) {
    text << (why->is_retry ? "retry " : "refusal ") << InfoOf(why->why).code;
  } else if (const auto* fetch = std::get_if<fetch_from_origin>(&item)) {
    text << "fetch " << ToHex(fetch->wanted.value).substr(0, 12);
  } else if (const auto* order = std::get_if<order_load>(&item)) {
    text << "order " << order->version << " fence "
         << order->fence_revision.value << "/"
         << order->fence_incarnation.value;
  } else if (const auto* call = std::get_if<start_call>(&item)) {
    text << "run " << call->attempt.value;
  } else if (const auto* cancel = std::get_if<cancel_call>(&item)) {
    text << "cancel " << cancel->attempt.value;
  } else if (const auto* record = std::get_if<create_record>(&item)) {
    text << "record " << record->key << " = " << record->value;
  } else if (const auto* release = std::get_if<release_record>(&item)) {
    text << "release " << release->key;
  } else if (const auto* part = std::get_if<answer_part>(&item)) {
    text << "answer " << part->request << (part->last ? " last " : " ")
         << part->data;
  } else if (const auto* refusal = std::get_if<answer_refusal>(&item)) {
    text << "refuse " << refusal->request << " " << InfoOf(refusal->why).code
         << (refusal->may_have_run ? " may have run" : " not run");
  }
  return text.str();
}

/// Passes inputs to an agent and records them with the agent's outputs.
class session {
 public:
  explicit session(agent* machine) : machine_(machine) {}

  void Feed(const std::string& what,
            milliseconds after,
            const agent_input& input) {
    now_ += after;
    output_list out = machine_->Step(now_, input);
    text_ << "[" << ToMs(now_ - kBegin) << " ms] " << what << "\n";
    for (const output& item : out.Items())
      text_ << "    " << Describe(item) << "\n";
  }
  std::string Text() const { return text_.str(); }

 private:
  static constexpr time_point kBegin{std::chrono::hours(1)};
  agent* machine_;
  time_point now_ = kBegin;
  std::ostringstream text_;
};

void CompareWithGolden(const std::string& name, const std::string& text) {
  const std::string path = std::string(GOLDEN_DIR) + "/" + name;
  if (std::getenv("FUCHSIAFALL_RENEW_GOLDEN") != nullptr)
    std::ofstream(path) << text;
  std::ifstream file(path);
  std::string golden((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
  BOOST_TEST(text == golden, name << " differs:\n" << text);
}

agent_options OptionsOf(const std::string& vm) {
  const vm_id self(vm);
  const domain_id domain("western");
  agent_options options{.self = self, .domain = domain};
  options.gossip = {
      .self = self, .domain = domain, .own_incarnation = incarnation(77)};
  options.weights = {
      .self = self, .domain = domain, .own_incarnation = incarnation(77)};
  options.server = {
      .self = self, .domain = domain, .own_incarnation = incarnation(77)};
  options.calls = {.self = self, .own_incarnation = incarnation(77)};
  return options;
}

store_changes ChangesOf(const proto::inventory& inventory,
                        uint64_t revision_number) {
  store_changes changes;
  changes.snapshot.emplace();
  changes.snapshot->set_revision(revision_number);
  *changes.snapshot->mutable_inventory() = inventory;
  return changes;
}

engine_report ReportOf(engine_report::load_stage stage,
                       const std::string& version,
                       const std::vector<std::string>& digests) {
  return {.reachable = true,
          .start_id = "engine/1",
          .stage = stage,
          .version = version,
          .digests = digests};
}

message_arrival CallOf(uint64_t attempt,
                       const std::string& service,
                       const std::string& version,
                       const std::string& key) {
  message_arrival arrival{.where = plane::kTraffic};
  arrival.message.set_vm("western-1");
  arrival.message.set_incarnation(5);
  proto::call_request* call = arrival.message.mutable_call();
  call->set_attempt_id(attempt);
  call->set_service(service);
  call->set_organisation("regatta");
  call->set_version(version);
  call->set_method("POST");
  call->set_path(key.empty() ? "/v1/completions" : "/book");
  call->set_body("body");
  call->set_deadline_ms(5000);
  call->set_idempotent(key.empty());
  call->set_idempotency_key(key);
  return arrival;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(golden_suite)

BOOST_AUTO_TEST_CASE(agent_loads_a_version_and_serves_a_call) {
  proto::inventory inventory =
      MakeInventory({.domains = {"western"}, .servers = 1, .plain_servers = 0});
  fake_weights v1 = MakeWeights(2500, 1000, 1);
  auto* version = inventory.add_versions();
  version->set_id("v1");
  version->set_model("model");
  version->set_manifest_digest(ToHex(v1.manifest.value));
  inventory.mutable_services(0)->set_version("v1");
  agent machine(OptionsOf("western-2"), std::make_shared<blob_store>());
  session s(&machine);

  s.Feed("engine is empty", milliseconds(0),
         ReportOf(engine_report::load_stage::kEmpty, "", {}));
  s.Feed("configuration from the store", milliseconds(10),
         ChangesOf(inventory, 1));
  s.Feed("tick", milliseconds(20), tick());
  auto blob = [&](const digest& name) {
    return blob_arrival{
        .wanted = name,
        .actual = DigestOf(v1.blobs.at(name)),
        .bytes = std::make_shared<std::string>(v1.blobs.at(name))};
  };
  s.Feed("manifest from the origin", milliseconds(5), blob(v1.manifest));
  proto::manifest manifest;
  manifest.ParseFromString(v1.blobs.at(v1.manifest));
  blob_arrival corrupt = blob(digest(manifest.chunk_digests(0)));
  corrupt.actual = DigestOf("something else");
  s.Feed("corrupt chunk from the origin", milliseconds(5), corrupt);
  s.Feed("chunk from the origin", milliseconds(5),
         blob(digest(manifest.chunk_digests(1))));
  s.Feed("tick after the origin's pause", milliseconds(600), tick());
  s.Feed("chunk from the origin", milliseconds(5),
         blob(digest(manifest.chunk_digests(0))));
  s.Feed("last chunk from the origin", milliseconds(5),
         blob(digest(manifest.chunk_digests(2))));
  s.Feed("tick", milliseconds(20), tick());
  s.Feed("call while loading", milliseconds(1),
         CallOf(1, "assistant", "v1", ""));
  s.Feed("engine has loaded", milliseconds(100),
         ReportOf(engine_report::load_stage::kReady, "v1",
                  {ToHex(v1.manifest.value)}));
  s.Feed("call", milliseconds(1), CallOf(2, "assistant", "v1", ""));
  s.Feed("call for another version", milliseconds(1),
         CallOf(3, "assistant", "v0", ""));
  s.Feed("last part", milliseconds(30),
         engine_part{.id = {vm_id("western-1"), attempt_id(2)},
                     .data = "tokens",
                     .last = true});
  s.Feed("shutdown", milliseconds(1), shutdown_order());
  s.Feed("call while shutting down", milliseconds(1),
         CallOf(4, "assistant", "v1", ""));
  CompareWithGolden("agent_rollout.txt", s.Text());
}

BOOST_AUTO_TEST_CASE(agent_runs_a_booking_at_most_once) {
  proto::inventory inventory =
      MakeInventory({.domains = {"western"}, .servers = 0});
  inventory.mutable_services()->DeleteSubrange(0, 1);
  agent machine(OptionsOf("western-2"), std::make_shared<blob_store>());
  session s(&machine);
  s.Feed("service is reachable", milliseconds(0),
         ReportOf(engine_report::load_stage::kReady, "", {}));
  s.Feed("configuration from the store", milliseconds(10),
         ChangesOf(inventory, 1));
  s.Feed("service is reachable", milliseconds(10),
         ReportOf(engine_report::load_stage::kReady, "", {}));
  const vm_id entry("western-1");
  s.Feed("booking", milliseconds(1), CallOf(1, "booking", "", "seat-1"));
  s.Feed("record created", milliseconds(3),
         record_result{{entry, attempt_id(1)},
                       record_result::status_type::kCreated});
  s.Feed("answer", milliseconds(10),
         engine_part{
             .id = {entry, attempt_id(1)}, .data = "booked", .last = true});
  s.Feed("the same booking again", milliseconds(1),
         CallOf(2, "booking", "", "seat-1"));
  s.Feed("booking of another process's key", milliseconds(1),
         CallOf(3, "booking", "", "seat-2"));
  s.Feed("record exists", milliseconds(3),
         record_result{{entry, attempt_id(3)},
                       record_result::status_type::kExists});
  s.Feed("booking while the store is down", milliseconds(1),
         CallOf(4, "booking", "", "seat-3"));
  s.Feed("no record", milliseconds(3),
         record_result{{entry, attempt_id(4)},
                       record_result::status_type::kUnavailable});
  s.Feed("booking that the service does not take", milliseconds(1),
         CallOf(5, "booking", "", "seat-4"));
  s.Feed("record created", milliseconds(3),
         record_result{{entry, attempt_id(5)},
                       record_result::status_type::kCreated});
  s.Feed("no connection", milliseconds(1),
         engine_part{.id = {entry, attempt_id(5)},
                     .last = true,
                     .why = reason::kEngineUnreachable});
  s.Feed("booking without a key", milliseconds(1), [&] {
    message_arrival arrival = CallOf(6, "booking", "", "x");
    arrival.message.mutable_call()->clear_idempotency_key();
    return arrival;
  }());
  CompareWithGolden("agent_booking.txt", s.Text());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
