/// @file fake_network.cc Simulated network around agents and entries.
#include "tests/fake_network.h"

#include <algorithm>

#include "call_record_func.h"
#include "configuration_store.h"
#include "hash_func.h"

namespace fuchsiafall::tests {

namespace {

constexpr milliseconds kTick{20};
constexpr milliseconds kLinkDelay{1};
constexpr milliseconds kPollInterval{200};
constexpr milliseconds kDowntime{400};

}  // namespace

fake_network::fake_network(fake_fleet_options options)
    : options_(std::move(options)),
      inventory_(MakeInventory(options_)),
      random_(options_.seed) {
  for (const proto::vm& vm : inventory_.vms()) {
    node& item = nodes_[vm.id()];
    item.vm = vm;
    if (vm.role() == proto::vm::AGENT) {
      fake_engine& engine = engines[vm.id()];
      engine.report.reachable = true;
      engine.report.start_id = vm.id() + "/1";
    }
    StartNode(&item);
  }
}

void fake_network::StartNode(node* item) {
  item->own_incarnation = incarnation(next_incarnation_++);
  gossip_options members{
      .self = vm_id(item->vm.id()),
      .domain = domain_id(item->vm.domain()),
      .own_incarnation = item->own_incarnation,
      .own_address = topology::AddressOf(item->vm, plane::kControl),
      .watch = milliseconds(2000),
      .heartbeat = milliseconds(1000),
      .suspect = milliseconds(3000)};
  for (const proto::vm& vm : inventory_.vms()) {
    if (vm.domain() == item->vm.domain() && vm.id() != item->vm.id()) {
      members.seed_peers.push_back(topology::AddressOf(vm, plane::kControl));
    }
  }
  if (item->vm.role() == proto::vm::ENTRY) {
    entry_options options{
        .self = members.self, .domain = members.domain, .gossip = members};
    options.routing = {.self = members.self,
                       .domain = members.domain,
                       .seed = item->own_incarnation.value};
    options.requests = {
        .self = members.self,
        .own_incarnation = item->own_incarnation,
        .own_traffic_address = topology::AddressOf(item->vm, plane::kTraffic),
        .deadline = milliseconds(8000),
        .progress_timeout = milliseconds(2500)};
    item->entry_machine = std::make_unique<entry>(options);
    return;
  }
  item->blobs = std::make_shared<blob_store>();
  agent_options options{
      .self = members.self, .domain = members.domain, .gossip = members};
  options.weights = {.self = members.self,
                     .domain = members.domain,
                     .own_incarnation = item->own_incarnation,
                     .rate = options_.vm_rate,
                     .seed = item->own_incarnation.value};
  options.server = {.self = members.self,
                    .domain = members.domain,
                    .own_incarnation = item->own_incarnation};
  options.calls = {.self = members.self,
                   .own_incarnation = item->own_incarnation};
  item->agent_machine = std::make_unique<agent>(options, item->blobs);
}

void fake_network::Run(duration span) {
  const time_point until = now + span;
  while (now < until) {
    now += kTick;
    ResumePaused();
    while (!events_.empty() && events_.begin()->first <= now) {
      event next = std::move(events_.begin()->second);
      const time_point at = events_.begin()->first;
      events_.erase(events_.begin());
      auto paused = paused_until_.find(next.vm);
      if (paused != paused_until_.end() && now < paused->second) {
        events_.emplace(paused->second, std::move(next));
        continue;
      }
      if (nodes_.at(next.vm).own_incarnation != next.own_incarnation)
        continue;
      static_cast<void>(at);
      next.action();
    }
    PollStore();
    for (auto& [id, item] : nodes_) {
      if (paused_until_.contains(id))
        continue;
      if (item.agent_machine != nullptr)
        RunAgent(&item, tick());
      if (item.entry_machine != nullptr)
        RunEntry(&item, tick());
    }
  }
}

void fake_network::ResumePaused() {
  for (auto& [id, item] : nodes_) {
    auto paused = paused_until_.find(id);
    if (paused == paused_until_.end() || now < paused->second)
      continue;
    paused_until_.erase(paused);
    // Its timers may run before it has read its sockets.
    for (const bool is_tick : {false, true}) {
      RunAgent(&item, is_tick ? agent_input(tick()) : pause_detected());
      RunEntry(&item, is_tick ? entry_input(tick()) : pause_detected());
    }
  }
}

bool fake_network::RunUntil(const std::function<bool()>& condition,
                            duration timeout) {
  const time_point until = now + timeout;
  while (!condition()) {
    if (now >= until)
      return false;
    Run(kTick);
  }
  return true;
}

publish_result fake_network::Apply(
    const std::function<void(proto::edit*, const proto::configuration&)>& set) {
  publish_options options{.edit_id = "edit-" + std::to_string(next_edit_++),
                          .author = "test"};
  return PublishEdit(
      store.Client(), options,
      [&](const proto::configuration& current) -> outcome<proto::edit> {
        proto::edit edit;
        set(&edit, current);
        return edit;
      });
}

void fake_network::SetVersion(const std::string& version,
                              const fake_weights& weights) {
  origin.Add(weights);
  auto* item = inventory_.add_versions();
  item->set_id(version);
  item->set_model("model");
  item->set_manifest_digest(ToHex(weights.manifest.value));
  inventory_.mutable_services(0)->set_version(version);
  Apply([&](proto::edit* edit, const proto::configuration&) {
    *edit->mutable_replace()->mutable_inventory() = inventory_;
    edit->mutable_replace()->mutable_rules()->set_loading_share_percent(50);
    edit->mutable_replace()->mutable_rules()->set_quarantine_crashes(2);
  });
}

uint64_t fake_network::Send(const std::string& entry_vm,
                            caller_request request) {
  request.id = next_request_++;
  answers_[request.id] = {};
  node& item = nodes_.at(entry_vm);
  const uint64_t id = request.id;
  Schedule(item, duration::zero(), [this, &item, request = std::move(request)] {
    RunEntry(&item, request);
  });
  return id;
}

caller_request fake_network::MakeCompletion(const std::string& prompt) {
  return {.token = "token",
          .model = "assistant",
          .is_model_call = true,
          .method = "POST",
          .path = "/v1/completions",
          .body = prompt,
          .prefix = prompt};
}

caller_request fake_network::MakeBooking(const std::string& key) {
  return {.token = "token",
          .model = "booking",
          .method = "POST",
          .path = "/book",
          .body = "seat " + key,
          .idempotency_key = key};
}

void fake_network::Kill(const std::string& vm) {
  node& item = nodes_.at(vm);
  item.agent_machine.reset();
  item.entry_machine.reset();
  item.own_incarnation = incarnation(next_incarnation_++);
}

void fake_network::Restart(const std::string& vm) {
  Kill(vm);
  paused_until_.erase(vm);
  StartNode(&nodes_.at(vm));
}

void fake_network::CrashEngine(const std::string& vm) {
  fake_engine& engine = engines.at(vm);
  engine.report.start_id = vm + "/" + std::to_string(++engine.starts);
  engine.report.stage = engine_report::load_stage::kEmpty;
  engine.report.version.clear();
  engine.report.digests.clear();
  engine.report.reachable = false;
  engine.report.is_warm = false;
  engine.running = 0;
  engine.answered = 0;
  node& item = nodes_.at(vm);
  Schedule(item, kDowntime,
           [this, vm] { engines.at(vm).report.reachable = true; });
}

agent* fake_network::Agent(const std::string& vm) {
  return nodes_.at(vm).agent_machine.get();
}

entry* fake_network::Entry(const std::string& vm) {
  return nodes_.at(vm).entry_machine.get();
}

std::vector<std::string> fake_network::Servers(
    const std::string& service) const {
  std::vector<std::string> ids;
  for (const proto::vm& vm : inventory_.vms()) {
    if (vm.service() == service)
      ids.push_back(vm.id());
  }
  return ids;
}

std::vector<std::string> fake_network::AllVms() const {
  std::vector<std::string> ids;
  for (const proto::vm& vm : inventory_.vms())
    ids.push_back(vm.id());
  return ids;
}

bool fake_network::AllServe(const std::string& version) {
  const std::vector<std::string> servers = Servers("assistant");
  return std::all_of(servers.begin(), servers.end(),
                     [&](const std::string& vm) {
                       return Agent(vm) != nullptr &&
                              Agent(vm)->Server().ServedVersion() == version;
                     });
}

uint64_t fake_network::Counter(const std::string& name) const {
  auto it = counters_.find(name);
  return it == counters_.end() ? 0 : it->second;
}

std::string fake_network::DomainOf(const std::string& vm) const {
  return nodes_.at(vm).vm.domain();
}

void fake_network::RunAgent(node* item, const agent_input& input) {
  if (item->agent_machine == nullptr)
    return;
  Perform(item, std::move(item->agent_machine->Step(now, input).Items()));
}

void fake_network::RunEntry(node* item, const entry_input& input) {
  if (item->entry_machine == nullptr)
    return;
  Perform(item, std::move(item->entry_machine->Step(now, input).Items()));
}

void fake_network::Perform(node* item, std::vector<output>&& outputs) {
  for (output& out : outputs) {
    if (auto* send = std::get_if<send_message>(&out)) {
      Deliver(item, std::move(*send));
    } else if (auto* count = std::get_if<count_event>(&out)) {
      counters_[count->name] += count->amount;
    } else if (auto* fetch = std::get_if<fetch_from_origin>(&out)) {
      FetchBlob(item, fetch->wanted);
    } else if (auto* order = std::get_if<order_load>(&out)) {
      LoadEngine(item, *order);
    } else if (auto* call = std::get_if<start_call>(&out)) {
      RunCall(item, *call);
    } else if (auto* record = std::get_if<create_record>(&out)) {
      CreateRecord(item, *record);
    } else if (auto* release = std::get_if<release_record>(&out)) {
      store_value back = store.Client().read(release->key);
      if (back.value == release->value)
        store.Client().remove(release->key, back.modify_index);
    } else if (auto* part = std::get_if<answer_part>(&out)) {
      caller_answer& answer = answers_[part->request];
      answer.body += part->data;
      answer.is_done = answer.is_done || part->last;
    } else if (auto* refusal = std::get_if<answer_refusal>(&out)) {
      caller_answer& answer = answers_[refusal->request];
      answer.is_done = answer.is_refused = true;
      answer.why = refusal->why;
      answer.may_have_run = refusal->may_have_run;
    }
  }
}

fake_network::node* fake_network::FindByAddress(const std::string& address,
                                                plane* where) {
  for (auto& [id, item] : nodes_) {
    for (plane p : {plane::kControl, plane::kBulk, plane::kTraffic}) {
      *where = p;
      if (topology::AddressOf(item.vm, p) == address)
        return &item;
    }
  }
  return nullptr;
}

void fake_network::Deliver(node* from, send_message&& message) {
  plane where = plane::kControl;
  node* to = FindByAddress(message.address, &where);
  if (to == nullptr ||
      (should_drop && should_drop(from->vm.id(), to->vm.id(), message.message)))
    return;
  const duration after =
      std::max<duration>(message.send_at - now, duration::zero()) + kLinkDelay;
  auto envelope = std::make_shared<proto::envelope>(std::move(message.message));
  shared_bytes data = std::move(message.attachment);
  Schedule(*to, after, [this, to, where, envelope, data] {
    if (envelope->body_case() == proto::envelope::kBlobAnswer) {
      const proto::blob_answer& answer = envelope->blob_answer();
      blob_arrival blob{.source_vm = vm_id(envelope->vm()),
                        .request_id = answer.request_id(),
                        .wanted = digest(answer.digest())};
      blob.status = data != nullptr ? blob_arrival::status_type::kOk
                    : answer.status() == proto::blob_answer::BUSY
                        ? blob_arrival::status_type::kBusy
                        : blob_arrival::status_type::kNotHere;
      if (data != nullptr)
        blob.actual = DigestOf(*data);
      blob.bytes = data;
      RunAgent(to, blob);
      return;
    }
    if (to->agent_machine != nullptr)
      RunAgent(to, message_arrival{where, *envelope});
    if (to->entry_machine != nullptr)
      RunEntry(to, message_arrival{where, *envelope});
  });
}

void fake_network::Schedule(const node& item,
                            duration after,
                            std::function<void()> action) {
  events_.emplace(now + after,
                  event{item.vm.id(), item.own_incarnation, std::move(action)});
}

void fake_network::FetchBlob(node* item, const digest& wanted) {
  blob_arrival blob{.wanted = wanted};
  auto it = origin.blobs.find(wanted);
  duration after = milliseconds(5);
  if (origin.is_down) {
    blob.status = blob_arrival::status_type::kUnreachable;
  } else if (it == origin.blobs.end()) {
    blob.status = blob_arrival::status_type::kNotHere;
  } else {
    std::string bytes = it->second;
    if (std::uniform_real_distribution<double>(0, 1)(random_) <
        origin.corrupt_share) {
      bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    }
    origin.sent_bytes += bytes.size();
    after += origin.pacer.Reserve(now, bytes.size()) - now;
    blob.actual = DigestOf(bytes);
    blob.bytes = std::make_shared<const std::string>(std::move(bytes));
  }
  Schedule(*item, after, [this, item, blob] { RunAgent(item, blob); });
}

void fake_network::LoadEngine(node* item, const order_load& order) {
  fake_engine& engine = engines.at(item->vm.id());
  const std::pair<uint64_t, uint64_t> fence{order.fence_revision.value,
                                            order.fence_incarnation.value};
  ++engine.load_orders;
  load_answer answer{.version = order.version};
  if (fence < engine.highest_fence) {
    ++engine.outdated_fences;
    if (engine.checks_fencing) {
      answer.status = load_answer::status_type::kRefused;
      answer.reason = "old fencing number";
      Schedule(*item, milliseconds(1),
               [this, item, answer] { RunAgent(item, answer); });
      return;
    }
  }
  engine.highest_fence = std::max(engine.highest_fence, fence);
  engine.report.stage = engine_report::load_stage::kLoading;
  engine.report.version.clear();
  engine.report.digests.clear();
  const std::string vm = item->vm.id();
  const uint64_t start = engine.starts;
  Schedule(*item, engine.load_time, [this, vm, order, start] {
    fake_engine& loaded = engines.at(vm);
    if (loaded.starts != start)
      return;
    loaded.report.stage = engine_report::load_stage::kReady;
    loaded.report.version = order.version;
    loaded.report.is_warm = false;
    loaded.answered = 0;
    for (const artifact_ref& part : order.parts) {
      loaded.report.digests.push_back(ToHex(part.manifest.value));
    }
  });
  Schedule(*item, milliseconds(1),
           [this, item, answer] { RunAgent(item, answer); });
}

void fake_network::RunCall(node* item, const start_call& call) {
  const std::string vm = item->vm.id();
  fake_engine& engine = engines.at(vm);
  const call_id id{call.entry, call.attempt};
  auto finish = [this, item, id](duration after, const std::string& data,
                                 reason why) {
    Schedule(*item, after, [this, item, id, data, why] {
      RunAgent(item,
               engine_part{.id = id, .data = data, .last = true, .why = why});
    });
  };
  const bool is_plain = item->vm.service() == "booking";
  if (!is_plain && engine.report.stage != engine_report::load_stage::kReady) {
    finish(milliseconds(1), "", reason::kEngineCrashed);
    return;
  }
  bool is_above_cold_limit = !is_plain && engine.answered < engine.warm_after &&
                             engine.running >= engine.cold_limit;
  if (is_above_cold_limit)
    ++engine.cold_limit_violations;
  if (engine.crashes_on && engine.crashes_on(call.request)) {
    CrashEngine(vm);
    finish(milliseconds(1), "", reason::kEngineCrashed);
    return;
  }
  ++engine.running;
  if (is_plain)
    ++runs[call.request.idempotency_key()];
  const uint64_t start = engine.starts;
  const std::string answer =
      vm + " " + engine.report.version + " " + call.request.body();
  Schedule(*item, engine.call_time, [this, item, vm, id, start, answer] {
    fake_engine& ran = engines.at(vm);
    if (ran.starts != start) {
      RunAgent(
          item,
          engine_part{.id = id, .last = true, .why = reason::kEngineCrashed});
      return;
    }
    --ran.running;
    if (++ran.answered >= ran.warm_after)
      ran.report.is_warm = true;
    RunAgent(item, engine_part{.id = id, .data = answer, .last = true});
  });
}

void fake_network::CreateRecord(node* item, const create_record& record) {
  const call_id id{record.entry, record.attempt};
  record_result result{.id = id};
  store_client client = store.Client();
  if (!domains_without_store.contains(item->vm.domain())) {
    result.status = CreateRecordIn(client, record);
  }
  Schedule(*item, milliseconds(3),
           [this, item, result] { RunAgent(item, result); });
}

void fake_network::PollStore() {
  if (now - last_poll_ < kPollInterval)
    return;
  last_poll_ = now;
  if (leaving_vms != seen_leaving_) {
    seen_leaving_ = leaving_vms;
    ++vm_list_index_;
  }
  outcome<stored_head> head = ReadHead(store.Client());
  for (auto& [id, item] : nodes_) {
    if (paused_until_.contains(id))
      continue;
    if (item.agent_machine != nullptr)
      RunAgent(&item, engines.at(id).report);
    if (!head || domains_without_store.contains(item.vm.domain()))
      continue;
    const gossip* members =
        item.agent_machine != nullptr   ? &item.agent_machine->Gossip()
        : item.entry_machine != nullptr ? &item.entry_machine->Gossip()
                                        : nullptr;
    if (members == nullptr || !members->WatchesStore(now))
      continue;
    outcome<store_changes> changes = ChangesSince(
        store.Client(), head->head, members->Topology()->Revision());
    if (!changes)
      continue;
    proto::vm_list list;
    list.set_index(vm_list_index_);
    for (const std::string& vm : seen_leaving_)
      list.add_leaving(vm);
    if (item.agent_machine != nullptr) {
      RunAgent(&item, *changes);
      RunAgent(&item, list);
    } else {
      RunEntry(&item, *changes);
      RunEntry(&item, list);
    }
  }
}

}  // namespace fuchsiafall::tests
