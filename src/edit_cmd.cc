/// @file edit_cmd.cc Operator commands that check, compare and edit the
/// configuration.
#include <Poco/UUIDGenerator.h>

#include <iostream>
#include <thread>

#include "configuration_func.h"
#include "configuration_store.h"
#include "operator_cmd.h"

namespace fuchsiafall {

namespace {

constexpr milliseconds kStoreTimeout{3000};

/// Inventory and rules files given on the command line.
struct wanted_state {
  proto::inventory inventory;
  proto::rules rules;
};

outcome<wanted_state> ReadWanted(const command_line& line) {
  if (line.arguments.empty() || line.arguments.size() > 2) {
    return failure{"arguments: found " + std::to_string(line.arguments.size()) +
                   ", allowed is INVENTORY [RULES]"};
  }
  outcome<proto::inventory> inventory = ReadInventory(line.arguments[0]);
  if (!inventory)
    return failure{inventory.LastReason()};
  outcome<proto::rules> rules =
      ReadRules(line.arguments.size() > 1 ? line.arguments[1] : "");
  if (!rules)
    return failure{rules.LastReason()};
  return wanted_state{*inventory, *rules};
}

bool SameRules(const proto::rules& a, const proto::rules& b) {
  return a.SerializeAsString() == b.SerializeAsString();
}

proto::inventory_delta DeltaTo(const proto::configuration& current,
                               const wanted_state& wanted) {
  proto::inventory_delta delta =
      DiffInventories(current.inventory(), wanted.inventory);
  if (!SameRules(current.rules(), wanted.rules))
    *delta.mutable_rules() = wanted.rules;
  return delta;
}

template <typename Items>
void PrintItems(const char* list, const char* sign, const Items& items) {
  for (const auto& item : items)
    std::cout << sign << ' ' << list << ' ' << item.id() << '\n';
}

void PrintInventory(const char* sign, const proto::inventory& inventory) {
  PrintItems("domain", sign, inventory.domains());
  PrintItems("version", sign, inventory.versions());
  PrintItems("adapter", sign, inventory.adapters());
  PrintItems("service", sign, inventory.services());
  PrintItems("vm", sign, inventory.vms());
  PrintItems("organisation", sign, inventory.organisations());
}

exit_code ExitCodeOf(publish_result::status_type status) {
  switch (status) {
    case publish_result::status_type::kAccepted:
      return exit_code::kOk;
    case publish_result::status_type::kRefused:
      return exit_code::kBadInput;
    case publish_result::status_type::kConflict:
      return exit_code::kConflict;
    case publish_result::status_type::kUnreachable:
      return exit_code::kUnreachable;
    case publish_result::status_type::kUnknown:
      return exit_code::kUnknown;
  }
  return exit_code::kFailed;
}

exit_code Publish(const command_line& line,
                  bool may_rebase,
                  const edit_hook& make_edit) {
  const std::string edit_id = line.edit_id.empty() ? NewEditId() : line.edit_id;
  publish_options options{
      .edit_id = edit_id,
      .author = line.author,
      .may_rebase = may_rebase,
      .pause = [](milliseconds span) { std::this_thread::sleep_for(span); }};
  publish_result result = PublishEdit(
      MakeStoreClient(line.store, kStoreTimeout), options, make_edit);
  if (result.status == publish_result::status_type::kAccepted) {
    std::cout << "accepted: edit " << edit_id << " made revision "
              << result.revision << '\n';
    return exit_code::kOk;
  }
  std::string reason =
      "edit " + edit_id + " was not accepted: " + result.last_reason;
  if (result.status == publish_result::status_type::kUnknown) {
    reason = "edit " + edit_id +
             " may have been accepted: " + result.last_reason +
             "; run 'fuchsiafall settle " + edit_id + "' later to find out";
  }
  return PrintError(ExitCodeOf(result.status), reason);
}

/// Publishes an edit of one failure domain. It is rebased if another edit is
/// accepted first, since the two rarely conflict.
exit_code PublishDomainEdit(
    const command_line& line,
    const std::function<void(proto::edit*, const std::string&)>& set) {
  if (line.arguments.size() != 1) {
    return PrintError(exit_code::kUsage, "arguments: allowed is one DOMAIN");
  }
  return Publish(line, true,
                 [&](const proto::configuration&) -> outcome<proto::edit> {
                   proto::edit edit;
                   set(&edit, line.arguments[0]);
                   return edit;
                 });
}

}  // namespace

std::string NewEditId() {
  return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

exit_code PrintError(exit_code code, const std::string& reason) {
  std::cerr << "fuchsiafall: " << reason << '\n';
  return code;
}

exit_code RunCheck(const command_line& line) {
  outcome<wanted_state> wanted = ReadWanted(line);
  if (!wanted)
    return PrintError(exit_code::kBadInput, wanted.LastReason());
  std::cout << "good: " << wanted->inventory.vms_size() << " VMs, "
            << wanted->inventory.services_size() << " services, "
            << wanted->inventory.domains_size() << " failure domains\n";
  return exit_code::kOk;
}

exit_code RunApply(const command_line& line) {
  outcome<wanted_state> wanted = ReadWanted(line);
  if (!wanted)
    return PrintError(exit_code::kBadInput, wanted.LastReason());
  bool changes_nothing = false;
  exit_code code =
      Publish(line, false,
              [&](const proto::configuration& current) -> outcome<proto::edit> {
                proto::edit edit;
                *edit.mutable_delta() = DeltaTo(current, *wanted);
                changes_nothing = IsEmptyDelta(edit.delta());
                if (changes_nothing)
                  return failure{"the configuration already matches"};
                return edit;
              });
  return changes_nothing ? exit_code::kOk : code;
}

exit_code RunDiff(const command_line& line) {
  outcome<wanted_state> wanted = ReadWanted(line);
  if (!wanted)
    return PrintError(exit_code::kBadInput, wanted.LastReason());
  store_client store = MakeStoreClient(line.store, kStoreTimeout);
  outcome<stored_head> head = ReadHead(store);
  if (!head)
    return PrintError(exit_code::kUnreachable, head.LastReason());
  outcome<proto::configuration> current = ReadConfiguration(store, head->head);
  if (!current)
    return PrintError(exit_code::kUnreachable, current.LastReason());
  proto::inventory_delta delta = DeltaTo(*current, *wanted);
  std::cout << "against revision " << current->revision() << '\n';
  PrintInventory("+", delta.upsert());
  PrintInventory("-", delta.remove());
  if (delta.has_rules())
    std::cout << "+ rules\n";
  return exit_code::kOk;
}

exit_code RunTakeOut(const command_line& line) {
  return PublishDomainEdit(line,
                           [](proto::edit* edit, const std::string& domain) {
                             edit->set_take_out(domain);
                           });
}

exit_code RunReturn(const command_line& line) {
  return PublishDomainEdit(line,
                           [](proto::edit* edit, const std::string& domain) {
                             edit->set_return_domain(domain);
                           });
}

exit_code RunSettle(const command_line& line) {
  if (line.arguments.size() != 1) {
    return PrintError(exit_code::kUsage, "arguments: allowed is one EDIT_ID");
  }
  outcome<uint64_t> settled = ReadEditRevision(
      MakeStoreClient(line.store, kStoreTimeout), line.arguments[0]);
  if (!settled)
    return PrintError(exit_code::kUnreachable, settled.LastReason());
  if (*settled == 0) {
    std::cout << "not accepted: no edit " << line.arguments[0]
              << " among the last accepted\n";
    return exit_code::kFailed;
  }
  std::cout << "accepted: edit " << line.arguments[0] << " made revision "
            << *settled << '\n';
  return exit_code::kOk;
}

}  // namespace fuchsiafall
