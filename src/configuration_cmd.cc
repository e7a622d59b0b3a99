/// @file configuration_cmd.cc Validates operators' edits and applies them to a
/// configuration.
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>

#include "configuration_func.h"

namespace fuchsiafall {

namespace {

template <typename Items>
int FindId(const Items& items, const std::string& id) {
  for (int i = 0; i < items.size(); ++i) {
    if (items[i].id() == id)
      return i;
  }
  return -1;
}

/// Applies removals, then additions and replacements, to one list by id.
template <typename Items>
void MergeItems(Items* items, const Items& upsert, const Items& remove) {
  for (const auto& item : remove) {
    int index = FindId(*items, item.id());
    if (index >= 0)
      items->DeleteSubrange(index, 1);
  }
  for (const auto& item : upsert) {
    int index = FindId(*items, item.id());
    if (index >= 0) {
      *items->Mutable(index) = item;
    } else {
      *items->Add() = item;
    }
  }
}

/// Collects the items to add or replace, and to remove, that turn one list into
/// another.
template <typename Items>
void DiffItems(const Items& from,
               const Items& to,
               Items* upsert,
               Items* remove) {
  using differencer = google::protobuf::util::MessageDifferencer;
  for (const auto& item : to) {
    int index = FindId(from, item.id());
    if (index < 0 || !differencer::Equals(from[index], item))
      *upsert->Add() = item;
  }
  for (const auto& item : from) {
    if (FindId(to, item.id()) < 0)
      remove->Add()->set_id(item.id());
  }
}

void MergeInventory(proto::inventory* inventory,
                    const proto::inventory_delta& delta) {
  const proto::inventory& add = delta.upsert();
  const proto::inventory& drop = delta.remove();
  MergeItems(inventory->mutable_domains(), add.domains(), drop.domains());
  MergeItems(inventory->mutable_versions(), add.versions(), drop.versions());
  MergeItems(inventory->mutable_adapters(), add.adapters(), drop.adapters());
  MergeItems(inventory->mutable_services(), add.services(), drop.services());
  MergeItems(inventory->mutable_vms(), add.vms(), drop.vms());
  MergeItems(inventory->mutable_organisations(), add.organisations(),
             drop.organisations());
}

bool IsOut(const proto::configuration& current, const std::string& domain) {
  const auto& out = current.domains_out();
  return std::find(out.begin(), out.end(), domain) != out.end();
}

outcome<done> TestDomain(const proto::configuration& current,
                         const std::string& domain) {
  if (FindId(current.inventory().domains(), domain) >= 0)
    return done{};
  std::string known;
  for (const auto& item : current.inventory().domains()) {
    known += (known.empty() ? "" : ", ") + item.id();
  }
  return failure{"domain: found '" + domain + "', allowed is one of " + known};
}

outcome<done> TestTakeOut(const proto::configuration& current,
                          const std::string& domain) {
  if (IsOut(current, domain))
    return failure{"domain '" + domain + "' is out of service already"};
  return TestDomain(current, domain);
}

outcome<done> TestReturn(const proto::configuration& current,
                         const std::string& domain) {
  if (!IsOut(current, domain))
    return failure{"domain '" + domain + "' is not out of service"};
  return done{};
}

void ExecuteReturn(proto::configuration* configuration,
                   const std::string& domain) {
  auto* out = configuration->mutable_domains_out();
  out->erase(std::remove(out->begin(), out->end(), domain), out->end());
}

outcome<done> TestDelta(const proto::configuration& current,
                        const proto::inventory_delta& delta) {
  proto::inventory after = current.inventory();
  MergeInventory(&after, delta);
  return CheckInventory(after);
}

}  // namespace

outcome<done> TestEdit(const proto::configuration& current,
                       const proto::edit& edit) {
  if (edit.revision() != current.revision() + 1) {
    return failure{"edit creates revision " + std::to_string(edit.revision()) +
                   ", but the configuration is at revision " +
                   std::to_string(current.revision())};
  }
  switch (edit.change_case()) {
    case proto::edit::kReplace:
      return CheckInventory(edit.replace().inventory());
    case proto::edit::kDelta:
      return TestDelta(current, edit.delta());
    case proto::edit::kTakeOut:
      return TestTakeOut(current, edit.take_out());
    case proto::edit::kReturnDomain:
      return TestReturn(current, edit.return_domain());
    default:
      return failure{"edit '" + edit.edit_id() +
                     "' contains no known kind of change"};
  }
}

void ExecuteEdit(proto::configuration* configuration, const proto::edit& edit) {
  switch (edit.change_case()) {
    case proto::edit::kReplace:
      *configuration->mutable_inventory() = edit.replace().inventory();
      *configuration->mutable_rules() = edit.replace().rules();
      break;
    case proto::edit::kDelta:
      MergeInventory(configuration->mutable_inventory(), edit.delta());
      if (edit.delta().has_rules())
        *configuration->mutable_rules() = edit.delta().rules();
      break;
    case proto::edit::kTakeOut:
      configuration->add_domains_out(edit.take_out());
      break;
    case proto::edit::kReturnDomain:
      ExecuteReturn(configuration, edit.return_domain());
      break;
    default:
      break;
  }
  configuration->set_revision(edit.revision());
}

proto::inventory_delta DiffInventories(const proto::inventory& from,
                                       const proto::inventory& to) {
  proto::inventory_delta delta;
  proto::inventory* add = delta.mutable_upsert();
  proto::inventory* drop = delta.mutable_remove();
  DiffItems(from.domains(), to.domains(), add->mutable_domains(),
            drop->mutable_domains());
  DiffItems(from.versions(), to.versions(), add->mutable_versions(),
            drop->mutable_versions());
  DiffItems(from.adapters(), to.adapters(), add->mutable_adapters(),
            drop->mutable_adapters());
  DiffItems(from.services(), to.services(), add->mutable_services(),
            drop->mutable_services());
  DiffItems(from.vms(), to.vms(), add->mutable_vms(), drop->mutable_vms());
  DiffItems(from.organisations(), to.organisations(),
            add->mutable_organisations(), drop->mutable_organisations());
  return delta;
}

bool IsEmptyDelta(const proto::inventory_delta& delta) {
  return delta.upsert().ByteSizeLong() == 0 &&
         delta.remove().ByteSizeLong() == 0 && !delta.has_rules();
}

}  // namespace fuchsiafall
