/// @file fake_weight_fleet.cc Agents that spread weights, in virtual time.
#include "tests/fake_weight_fleet.h"

#include <algorithm>

#include "hash_func.h"

namespace fuchsiafall::tests {

namespace {

constexpr milliseconds kStep{2};
constexpr milliseconds kRunInterval{20};
constexpr milliseconds kLinkDelay{1};
constexpr milliseconds kRegionDelay{2};
constexpr milliseconds kOriginTimeout{1500};
constexpr double kManifestBytesPerChunk = 67;  // Hex digits in JSON.

std::string VmId(size_t domain, size_t server) {
  return "d" + std::to_string(domain) + "-" + std::to_string(server);
}

}  // namespace

fake_weight_fleet::fake_weight_fleet(fake_weight_fleet_options options)
    : options_(options),
      chunk_content_(std::make_shared<std::string>(options.chunk_bytes, 'w')) {
  Resize(options_.servers);
}

void fake_weight_fleet::Resize(size_t servers) {
  BuildTopology(servers);
  for (auto& [id, item] : nodes_) {
    item.is_listed = true;
    SetTarget(&item);
  }
}

void fake_weight_fleet::StartUnlisted(const std::vector<uint64_t>& versions) {
  versions_ = versions;
  List(0);
}

void fake_weight_fleet::List(size_t servers) {
  for (auto& [id, item] : nodes_)
    item.is_listed = false;
  for (size_t d = 0; d < options_.domains; ++d) {
    for (size_t s = 0; s < servers; ++s)
      nodes_.at(VmId(d, s)).is_listed = true;
  }
  const topology_ptr all = topology_;
  for (auto& [id, item] : nodes_) {
    topology_ = MakePartialTopology(item);
    SetTarget(&item);
    topology_ = all;
  }
}

topology_ptr fake_weight_fleet::MakePartialTopology(const node& item) const {
  proto::configuration configuration;
  proto::inventory* inventory = configuration.mutable_inventory();
  std::set<std::string> domains;
  for (const auto& [id, other] : nodes_) {
    if (!other.is_listed && &other != &item)
      continue;
    if (domains.insert(other.domain).second) {
      proto::failure_domain* domain = inventory->add_domains();
      domain->set_id(other.domain);
      domain->set_region(other.domain);
    }
    *inventory->add_vms() = *topology_->FindVm(other.id);
  }
  return std::make_shared<topology>(std::move(configuration));
}

void fake_weight_fleet::AddUnknown(size_t servers) {
  std::set<std::string> known;
  for (const auto& [id, item] : nodes_)
    known.insert(id);
  BuildTopology(servers);
  for (auto& [id, item] : nodes_) {
    if (!known.contains(id))
      SetTarget(&item);
  }
}

void fake_weight_fleet::BuildTopology(size_t servers) {
  proto::configuration configuration;
  proto::inventory* inventory = configuration.mutable_inventory();
  for (size_t d = 0; d < options_.domains; ++d) {
    const std::string domain = "d" + std::to_string(d);
    proto::failure_domain* added = inventory->add_domains();
    added->set_id(domain);
    added->set_region(domain);
    for (size_t s = 0; s < servers; ++s) {
      proto::vm* vm = inventory->add_vms();
      vm->set_id(VmId(d, s));
      vm->set_domain(domain);
      vm->set_role(proto::vm::AGENT);
      vm->set_ip("10." + std::to_string(d) + ".0." + std::to_string(s + 1));
      vm->set_port(7700);
      vm->set_service("model");
    }
  }
  topology_ = std::make_shared<topology>(std::move(configuration));
  for (const proto::vm& vm : topology_->Configuration().inventory().vms()) {
    if (!nodes_.contains(vm.id()))
      AddNode(vm);
  }
}

void fake_weight_fleet::AddNode(const proto::vm& vm) {
  node& item = nodes_[vm.id()];
  item.id = vm_id(vm.id());
  item.domain = vm.domain();
  item.blobs = std::make_shared<blob_store>();
  item.upload = std::make_unique<rate_pacer>(options_.vm_rate);
  item.download = std::make_unique<rate_pacer>(options_.vm_rate);
  node* own = &item;
  weight_transfer_options options{
      .self = item.id,
      .domain = domain_id(item.domain),
      .own_incarnation = incarnation(1),
      .rate = options_.vm_rate,
      .chunk_timeout = milliseconds(700),
      .upload_queue = 2,
      .neighbours = 8,
      .map_interval = milliseconds(40),
      .outside_probe_interval = milliseconds(60),
      .excludes_stalls = true,
      .idle_takeover_delay = milliseconds(200),
      .max_origin_requests = options_.max_origin_requests,
      .max_origin_backoff = milliseconds(600),
      .max_listing_delay = milliseconds(5000),
      .has_named_manifests = true,
      .seed = Hash64(vm.id(), options_.seed)};
  options.on_manifest = [own](const artifact_ref& part,
                              const named_manifest& adopted) {
    own->manifests.Adopt(std::stoull(part.name), adopted.bytes, adopted.reads);
  };
  item.transfer = std::make_unique<weight_transfer>(options, item.blobs);
  for (plane where : {plane::kControl, plane::kBulk})
    by_address_[topology::AddressOf(vm, where)] = own;
}

const std::vector<digest>& fake_weight_fleet::Chunks(uint64_t version) {
  std::vector<digest>& chunks = chunks_[version];
  for (size_t i = chunks.size(); i < options_.chunks; ++i) {
    chunks.push_back(
        DigestOf(std::to_string(version) + "/" + std::to_string(i)));
  }
  return chunks;
}

void fake_weight_fleet::SetVersions(const std::vector<uint64_t>& versions) {
  versions_ = versions;
  for (auto& [id, item] : nodes_)
    SetTarget(&item);
}

void fake_weight_fleet::SetTarget(node* item) {
  if (!options_.plan)
    item->versions = versions_;
  if (item->versions.empty())
    return;
  std::vector<artifact_ref> parts;
  for (uint64_t version : item->versions)
    parts.push_back({std::to_string(version), ManifestName("model", version)});
  output_list out;
  item->transfer->SetListed(now, item->is_listed);
  item->transfer->SetTarget(now, topology_, "model", parts, false, &out);
  for (uint64_t version : item->versions) {
    if (!item->manifests.IsConfirmed(version))
      continue;
    item->transfer->ReplaceManifest(
        now, ManifestName("model", version),
        {.bytes = item->manifests.Find(version)->bytes,
         .reads = item->manifests.Reads(version)},
        &out);
  }
  Perform(item, &out);
}

void fake_weight_fleet::Run(duration span) {
  const time_point until = now + span;
  while (now < until) {
    now += kStep;
    AdvanceOrigin(kStep);
    while (!events_.empty() && events_.begin()->first <= now) {
      auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    if (now - last_run_ < kRunInterval)
      continue;
    last_run_ = now;
    for (auto& [id, item] : nodes_)
      RunNode(&item);
  }
}

bool fake_weight_fleet::RunUntil(const std::function<bool()>& condition,
                                 duration timeout) {
  const time_point until = now + timeout;
  while (!condition()) {
    if (now >= until)
      return false;
    Run(kRunInterval);
  }
  return true;
}

void fake_weight_fleet::RunNode(node* item) {
  if (item->is_dead)
    return;
  if (options_.plan)
    RunLoader(item);
  output_list out;
  item->transfer->SetListed(now, item->is_listed);
  item->transfer->RunDue(now, &out);
  Perform(item, &out);
  for (uint64_t version : item->versions) {
    if (item->manifests.Find(version) != nullptr &&
        item->manifests.NeedsRead(now, version))
      ReadManifest(item, version);
  }
}

void fake_weight_fleet::Perform(node* item, output_list* out) {
  for (output& step : out->Items()) {
    if (auto* send = std::get_if<send_message>(&step)) {
      Deliver(item, *send);
    } else if (auto* fetch = std::get_if<fetch_from_origin>(&step)) {
      FetchFromOrigin(item, fetch->wanted);
    }
  }
}

void fake_weight_fleet::Schedule(time_point at, std::function<void()> action) {
  events_.emplace(at, std::move(action));
}

void fake_weight_fleet::Deliver(node* from, const send_message& message) {
  auto it = by_address_.find(message.address);
  if (it == by_address_.end() || it->second->is_dead)
    return;
  node* to = it->second;
  const bool is_same_region = from->domain == to->domain;
  time_point at = std::max(now, message.send_at);
  if (message.attachment != nullptr) {
    const uint64_t size = message.attachment->size();
    at = std::max(at, from->upload->Reserve(now, size));
    if (!is_same_region) {
      auto link = region_links_.try_emplace({from->domain, to->domain},
                                            options_.region_rate);
      at = std::max(at, link.first->second.Reserve(now, size));
    }
    at = std::max(at, to->download->Reserve(now, size));
  }
  at += is_same_region ? kLinkDelay : kRegionDelay;
  Schedule(
      at, [this, from, to, sent = message.message, data = message.attachment] {
        if (to->is_dead)
          return;
        output_list out;
        if (sent.has_have()) {
          to->transfer->OnHaveMap(now, from->id, sent.have(), &out);
        } else if (sent.has_blob_request()) {
          to->transfer->OnBlobRequest(now, from->id, sent.blob_request(), &out);
        } else if (sent.has_blob_answer()) {
          const proto::blob_answer& answer = sent.blob_answer();
          blob_arrival blob{.source_vm = from->id,
                            .request_id = answer.request_id(),
                            .wanted = digest(answer.digest()),
                            .actual = digest(answer.digest()),
                            .bytes = data};
          if (data == nullptr) {
            blob.status = answer.status() == proto::blob_answer::BUSY
                              ? blob_arrival::status_type::kBusy
                              : blob_arrival::status_type::kNotHere;
          }
          chunks_delivered += data == chunk_content_ ? 1 : 0;
          to->transfer->OnBlob(now, blob, &out);
          to->transfer->RunDue(now, &out);
        }
        Perform(to, &out);
      });
}

void fake_weight_fleet::StartRead(
    node* item,
    double bytes,
    std::function<void(bool is_complete)> on_done) {
  reads_.push_back({.reader = item,
                    .remaining = bytes,
                    .deadline = now + kOriginTimeout,
                    .on_done = std::move(on_done)});
  max_open_reads = std::max(max_open_reads, reads_.size());
}

void fake_weight_fleet::AdvanceOrigin(duration step) {
  // All open answers share the origin's link equally.
  auto can_send = [this](const origin_read& read) {
    return !is_origin_down && !read.reader->has_no_origin;
  };
  const auto sending = static_cast<double>(
      std::count_if(reads_.begin(), reads_.end(), can_send));
  std::vector<origin_read> done;
  std::vector<origin_read> open;
  for (origin_read& read : reads_) {
    if (can_send(read)) {
      const double share = std::min(
          read.remaining, options_.origin_rate * ToSeconds(step) / sending);
      read.remaining -= share;
      origin_bytes += static_cast<uint64_t>(share);
    }
    const bool is_over = read.remaining < 1 || now >= read.deadline;
    (is_over ? done : open).push_back(std::move(read));
  }
  reads_ = std::move(open);
  for (origin_read& read : done) {
    if (!read.reader->is_dead)
      read.on_done(read.remaining < 1);
  }
}

void fake_weight_fleet::FetchFromOrigin(node* item, const digest& wanted) {
  for (uint64_t version : item->versions) {
    if (ManifestName("model", version) == wanted)
      return ReadManifest(item, version);
  }
  ++chunk_reads;
  StartRead(item, options_.chunk_bytes, [this, item, wanted](bool is_complete) {
    blob_arrival blob{.wanted = wanted, .actual = wanted};
    const auto location = item->manifests.LocatePiece(wanted);
    if (is_complete && location) {
      blob.bytes = chunk_content_;
      blob.actual = Chunks(location->version)[location->index];
      if (blob.actual != wanted)
        item->manifests.OnPieceMismatch(wanted);
    } else {
      blob.status = blob_arrival::status_type::kUnreachable;
    }
    output_list out;
    item->transfer->OnBlob(now, blob, &out);
    item->transfer->RunDue(now, &out);
    Perform(item, &out);
  });
}

void fake_weight_fleet::ReadManifest(node* item, uint64_t version) {
  if (item->manifests.IsReading(version))
    return;
  item->manifests.OnReadStarted(version);
  ++manifest_reads[version];
  readers_.push_back(item->id.value);
  StartRead(item, kManifestBytesPerChunk * static_cast<double>(options_.chunks),
            [this, item, version](bool is_complete) {
              OnManifest(item, version, is_complete);
            });
}

void fake_weight_fleet::OnManifest(node* item,
                                   uint64_t version,
                                   bool is_complete) {
  const digest name = ManifestName("model", version);
  const bool is_dropped = dropped_versions.contains(version);
  outcome<weights_manifest> answer = failure{"no answer"};
  if (is_complete && !is_dropped) {
    weights_manifest manifest{.model = "model",
                              .version = version,
                              .chunk_bytes = options_.chunk_bytes};
    for (const digest& chunk : Chunks(version))
      manifest.digests.push_back(ToHex(chunk.value));
    if (++reads_by_version_[version] <= options_.corrupt_reads)
      manifest.digests[3] = std::string(64, 'a');
    answer = manifest;
  }
  output_list out;
  if (!item->manifests.OnReadResult(now, version, answer)) {
    item->transfer->OnBlob(
        now,
        {.wanted = name,
         .status = is_dropped ? blob_arrival::status_type::kNotHere
                              : blob_arrival::status_type::kUnreachable},
        &out);
  } else if (item->manifests.IsConfirmed(version)) {
    item->transfer->ReplaceManifest(
        now, name,
        {.bytes = item->manifests.Find(version)->bytes,
         .reads = item->manifests.Reads(version)},
        &out);
    item->transfer->RunDue(now, &out);
  } else {
    ReadManifest(item, version);
  }
  Perform(item, &out);
}

std::vector<std::string> fake_weight_fleet::Vms() const {
  std::vector<std::string> ids;
  for (const auto& [id, item] : nodes_)
    ids.push_back(id);
  return ids;
}

size_t fake_weight_fleet::CompleteCount() {
  if (versions_.empty())
    return 0;
  const std::vector<digest>& chunks = Chunks(versions_.back());
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& item) {
        const node& each = item.second;
        if (each.is_dead)
          return false;
        return std::all_of(chunks.begin(), chunks.end(),
                           [&](const digest& chunk) {
                             return each.blobs->Find(chunk) != nullptr;
                           });
      }));
}

size_t fake_weight_fleet::KnownManifests() const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [this](const auto& item) {
        return item.second.manifests.IsConfirmed(versions_.back());
      }));
}

bool fake_weight_fleet::AllComplete() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& item) {
    return item.second.is_dead || item.second.transfer->IsComplete();
  });
}

}  // namespace fuchsiafall::tests
