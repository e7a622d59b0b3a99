/// @file weight_source.cc Source selection and requests for manifests and
/// chunks.
#include <algorithm>

#include "envelope_func.h"
#include "hash_func.h"
#include "weight_transfer_base.h"

namespace fuchsiafall {

namespace {

constexpr size_t kMostPending = 16;   // Outstanding requests to peers.
constexpr size_t kMostPerHolder = 2;  // Outstanding requests to one server.
constexpr size_t kMostOriginPending =
    2;  // Outstanding fetches from the origin.
constexpr size_t kMostOutsidePending =
    6;  // Outstanding imports, including those from the origin.
constexpr size_t kChunksAhead =
    3;  // Chunks for which the download link is reserved ahead.
constexpr milliseconds kLeastAhead{
    60};  // Minimum time for which it is reserved ahead.
constexpr milliseconds kChainProbe{
    1000};  // Between probes of importers with a better rank.
constexpr seconds kOriginDeadline{120};
constexpr int kPatienceFactor = 3;
constexpr uint32_t kMostDoublings =
    4;  // Doublings of the back-off for a holder that does not answer.
constexpr uint64_t kManifestBytes =
    4096;  // Reserved for a manifest, whose size is not known.

}  // namespace

void weight_transfer::Step(time_point now, output_list* out) {
  Expire(now, out);
  for (size_t i = 0; i < artifacts_.size(); ++i) {
    artifact& item = artifacts_[i];
    switch (item.stage) {
      case transfer_stage::kManifest:
        RequestManifest(now, i, out);
        break;
      case transfer_stage::kChunks:
        RequestImports(now, i, out);
        RequestFromNeighbours(now, i, out);
        NoteIdle(now, i);
        break;
      default:
        break;
    }
    SendMaps(now, &item, out);
  }
}

void weight_transfer::NoteIdle(time_point now, size_t index) {
  auto is_of = [index](const auto& entry) {
    return entry.second.artifact_index == index;
  };
  if (std::any_of(pending_.begin(), pending_.end(), is_of) ||
      std::any_of(origin_pending_.begin(), origin_pending_.end(), is_of)) {
    artifacts_[index].idle_since = now;
  }
}

bool weight_transfer::IsSilent(time_point now, const holder& who) const {
  return who.was_asked && now - who.asked_since > options_.chunk_timeout;
}

bool weight_transfer::IsPassedOver(time_point now, const holder& who) const {
  return now < who.avoided_until || IsSilent(now, who);
}

bool weight_transfer::HasWillingNeighbour(time_point now,
                                          const artifact& item,
                                          size_t chunk) const {
  if (item.rarity[chunk] == 0)
    return false;
  return std::any_of(
      item.holders.begin(), item.holders.end(), [&](const auto& entry) {
        const holder& who = entry.second;
        return who.is_neighbour && who.Has(chunk) && !IsPassedOver(now, who);
      });
}

void weight_transfer::Avoid(time_point now, holder* who) const {
  const milliseconds pause = 2 * options_.chunk_timeout *
                             (1 << std::min(who->failures, kMostDoublings));
  ++who->failures;
  who->avoided_until = now + pause;
}

bool weight_transfer::IsUsable(time_point now, const holder& who) const {
  return now >= who.busy_until && who.outstanding < kMostPerHolder &&
         !IsPassedOver(now, who);
}

milliseconds weight_transfer::Patience(const artifact& item) const {
  auto transfer = std::chrono::duration_cast<milliseconds>(
      download_.TimeFor(item.manifest.total_bytes()));
  return kPatienceFactor * options_.chunk_timeout + 2 * transfer;
}

bool weight_transfer::ActsAsImporter(time_point now,
                                     artifact* item,
                                     const std::vector<vm_id>& order,
                                     size_t place) {
  if (place == 0) {
    // A replaced server first learns which chunks its domain already has.
    return !item->is_late ||
           std::all_of(item->holders.begin(), item->holders.end(),
                       [&](const auto& entry) {
                         const holder& who = entry.second;
                         return !who.is_neighbour || who.was_heard ||
                                IsSilent(now, who);
                       });
  }
  if (now - item->since > static_cast<int>(place) * Patience(*item))
    return true;
  const bool is_near_end =
      !item->chunks.empty() && item->have_count * 2 >= item->chunks.size();
  if (is_near_end && now - item->idle_since >
                         static_cast<int>(place) * options_.idle_takeover) {
    return true;
  }
  return std::all_of(
      order.begin(), order.begin() + static_cast<ptrdiff_t>(place),
      [&](const vm_id& id) { return IsPassedOver(now, item->holders[id]); });
}

std::optional<weight_transfer::outside_source> weight_transfer::ChooseOutside(
    time_point now,
    artifact* item,
    const digest& blob,
    std::optional<size_t> chunk) {
  std::vector<std::string> domains;
  for (const auto& [id, chain] : item->chains)
    domains.push_back(id);
  const bool is_patient = now - item->since <= Patience(*item);
  for (size_t d : RendezvousRank(blob.value, domains, domains.size())) {
    if (domains[d] == options_.domain.value) {
      if (now >= origin_avoided_until_)
        return outside_source{};
      continue;
    }
    std::vector<vm_id> order = ImportOrder(*item, domains[d], blob);
    for (size_t i = 0; i < std::min<size_t>(2, order.size()); ++i) {
      holder& who = item->holders[order[i]];
      if (IsPassedOver(now, who))
        continue;
      bool has_it = chunk ? who.Has(*chunk) : who.has_manifest;
      if (has_it && IsUsable(now, who))
        return outside_source{order[i]};
      // This importer responds and will obtain the chunk, so a second copy need
      // not be imported from elsewhere.
      if (has_it || is_patient)
        return std::nullopt;
    }
  }
  return std::nullopt;
}

void weight_transfer::RequestManifest(time_point now,
                                      size_t index,
                                      output_list* out) {
  artifact& item = artifacts_[index];
  if (origin_pending_.contains(item.part.manifest))
    return;
  for (const auto& [id, request] : pending_) {
    if (request.artifact_index == index)
      return;
  }
  for (auto& [id, who] : item.holders) {
    if (who.is_neighbour && who.has_manifest && IsUsable(now, who)) {
      Request(now, index, std::nullopt, id, out);
      return;
    }
  }
  auto chain = item.chains.find(options_.domain.value);
  if (chain == item.chains.end())
    return;
  std::vector<vm_id> order =
      ImportOrder(item, options_.domain.value, item.part.manifest);
  auto own = std::find(order.begin(), order.end(), options_.self);
  if (own == order.end())
    return;
  const auto place = static_cast<size_t>(own - order.begin());
  for (size_t i = 0; i < place; ++i)
    Probe(now, &item, order[i], kChainProbe, out);
  if (!ActsAsImporter(now, &item, order, place))
    return;
  for (const auto& [id, other] : item.chains) {
    if (id == options_.domain.value)
      continue;
    std::vector<vm_id> there = ImportOrder(item, id, item.part.manifest);
    for (size_t i = 0; i < std::min<size_t>(2, there.size()); ++i) {
      Probe(now, &item, there[i], options_.outside_probe, out);
    }
  }
  std::optional<outside_source> source =
      ChooseOutside(now, &item, item.part.manifest, std::nullopt);
  if (source)
    Request(now, index, std::nullopt, source->giver, out);
}

void weight_transfer::RequestImports(time_point now,
                                     size_t index,
                                     output_list* out) {
  artifact& item = artifacts_[index];
  size_t outside = origin_pending_.size();
  for (const auto& [id, request] : pending_) {
    outside += item.holders[*request.giver].is_neighbour ? 0 : 1;
  }
  std::set<vm_id> probed;
  auto probe = [&](const vm_id& id, milliseconds interval) {
    if (probed.insert(id).second)
      Probe(now, &item, id, interval, out);
  };
  for (const auto& [chunk, place] : item.import_place) {
    if (item.have[chunk] || item.in_flight[chunk] ||
        HasWillingNeighbour(now, item, chunk))
      continue;
    std::vector<vm_id> order =
        ImportOrder(item, options_.domain.value, item.chunks[chunk]);
    for (size_t i = 0; i < place; ++i)
      probe(order[i], kChainProbe);
    if (!ActsAsImporter(now, &item, order, place))
      continue;
    for (const auto& [id, chain] : item.chains) {
      if (id == options_.domain.value)
        continue;
      std::vector<vm_id> there = ImportOrder(item, id, item.chunks[chunk]);
      for (size_t i = 0; i < std::min<size_t>(2, there.size()); ++i) {
        probe(there[i], options_.outside_probe);
      }
    }
    if (outside >= kMostOutsidePending || !HasRoom(now))
      continue;
    std::optional<outside_source> source =
        ChooseOutside(now, &item, item.chunks[chunk], chunk);
    if (!source)
      continue;
    if (!source->giver && origin_pending_.size() >= kMostOriginPending)
      continue;
    if (place > 0) {
      out->Count("imports_taken_over");
      out->Log(log_event::kTakeOver,
               "part=" + item.part.name + " chunk=" + std::to_string(chunk));
    }
    Request(now, index, chunk, source->giver, out);
    ++outside;
  }
}

void weight_transfer::RequestFromNeighbours(time_point now,
                                            size_t index,
                                            output_list* out) {
  artifact& item = artifacts_[index];
  while (HasRoom(now) && pending_.size() < kMostPending) {
    std::optional<size_t> chunk = RarestChunk(now, item);
    if (!chunk)
      return;
    vm_id giver;
    if (LeastUsedNeighbour(now, &item, *chunk, &giver) == nullptr)
      return;
    Request(now, index, chunk, giver, out);
  }
}

std::optional<size_t> weight_transfer::RarestChunk(time_point now,
                                                   const artifact& item) {
  std::vector<const holder*> usable;
  for (const auto& [id, who] : item.holders) {
    if (who.is_neighbour && IsUsable(now, who))
      usable.push_back(&who);
  }
  std::optional<size_t> rarest;
  uint64_t equals = 0;
  for (size_t i = 0; i < item.chunks.size(); ++i) {
    if (item.have[i] || item.in_flight[i] || item.rarity[i] == 0)
      continue;
    if (rarest && item.rarity[i] > item.rarity[*rarest])
      continue;
    bool can_be_had =
        std::any_of(usable.begin(), usable.end(),
                    [&](const holder* who) { return who->Has(i); });
    if (!can_be_had)
      continue;
    equals = rarest && item.rarity[i] == item.rarity[*rarest] ? equals + 1 : 1;
    // Reservoir sampling: all equally rare chunks have the same probability.
    if (equals == 1 || random_() % equals == 0)
      rarest = i;
  }
  return rarest;
}

holder* weight_transfer::LeastUsedNeighbour(time_point now,
                                            artifact* item,
                                            size_t chunk,
                                            vm_id* id) {
  holder* best = nullptr;
  uint64_t equals = 0;
  for (auto& [other, who] : item->holders) {
    if (!who.is_neighbour || !who.Has(chunk) || !IsUsable(now, who))
      continue;
    if (best != nullptr && who.outstanding > best->outstanding)
      continue;
    equals = best != nullptr && who.outstanding == best->outstanding
                 ? equals + 1
                 : 1;
    if (equals > 1 && random_() % equals != 0)
      continue;
    best = &who;
    *id = other;
  }
  return best;
}

bool weight_transfer::HasRoom(time_point now) const {
  uint64_t chunk_bytes = 0;
  for (const artifact& item : artifacts_) {
    chunk_bytes = std::max<uint64_t>(chunk_bytes, item.manifest.chunk_bytes());
  }
  if (static_cast<double>(pending_.size() + origin_pending_.size()) >= window_)
    return false;
  duration ahead = kChunksAhead * download_.TimeFor(chunk_bytes);
  return download_.Backlog(now) < std::max<duration>(ahead, kLeastAhead);
}

void weight_transfer::Request(time_point now,
                              size_t index,
                              std::optional<size_t> chunk,
                              const std::optional<vm_id>& giver,
                              output_list* out) {
  artifact& item = artifacts_[index];
  pending request{.artifact_index = index, .chunk = chunk, .giver = giver};
  request.bytes = chunk ? item.manifest.chunk_bytes() : kManifestBytes;
  download_.Reserve(now, request.bytes);
  const digest& wanted = chunk ? item.chunks[*chunk] : item.part.manifest;
  if (chunk)
    item.in_flight[*chunk] = true;
  if (!giver) {
    request.deadline = now + kOriginDeadline;
    origin_pending_[wanted] = request;
    out->Add(fetch_from_origin{wanted});
    return;
  }
  holder& who = item.holders[*giver];
  ++who.outstanding;
  MarkAsked(now, &who);
  duration queued = static_cast<int>(options_.upload_queue + 1) *
                    upload_.TimeFor(request.bytes);
  request.deadline = now + options_.chunk_timeout + queued;
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  message.mutable_blob_request()->set_digest(wanted.value);
  message.mutable_blob_request()->set_request_id(next_request_id_);
  pending_[next_request_id_++] = request;
  out->Send(plane::kBulk, AddressOf(*giver, plane::kBulk), std::move(message));
}

void weight_transfer::Expire(time_point now, output_list* out) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    out->Count("blobs_timed_out");
    if (now - window_cut_at_ >= options_.chunk_timeout) {
      window_ = std::max(window_ / 2, 1.0);
      slow_from_ = window_;
      window_cut_at_ = now;
    }
    holder& giver =
        artifacts_[it->second.artifact_index].holders[*it->second.giver];
    Avoid(now, &giver);
    out->Add(
        reset_link{plane::kBulk, AddressOf(*it->second.giver, plane::kBulk)});
    Release(it->second, true);
    it = pending_.erase(it);
  }
  for (auto it = origin_pending_.begin(); it != origin_pending_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    out->Count("origin_timed_out");
    AvoidOrigin(now);
    Release(it->second, true);
    it = origin_pending_.erase(it);
  }
}

}  // namespace fuchsiafall
