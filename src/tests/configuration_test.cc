/// @file configuration_test.cc Tests of inventories, rules, settings, and
/// publishing edits to the store.
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <random>

#include "configuration_func.h"
#include "configuration_log_base.h"
#include "configuration_store.h"
#include "harness/fleet.h"
#include "settings_base.h"
#include "tests/fake_network.h"

namespace fuchsiafall::tests {

namespace {

proto::inventory ValidInventory() {
  proto::inventory inventory = MakeInventory({});
  auto* version = inventory.add_versions();
  version->set_id("v1");
  version->set_manifest_digest(std::string(64, 'a'));
  inventory.mutable_services(0)->set_version("v1");
  return inventory;
}

/// Checks that an inventory is rejected with an error that names the field.
/// @param field_path Path of the field.
void CheckRefused(const proto::inventory& inventory,
                  const std::string& field_path) {
  outcome<done> checked = CheckInventory(inventory);
  BOOST_TEST(!checked);
  BOOST_TEST(checked.LastReason().find(field_path) != std::string::npos,
             checked.LastReason());
  BOOST_TEST(checked.LastReason().find("allowed") != std::string::npos,
             checked.LastReason());
}

edit_hook TakeOut(const std::string& domain) {
  return [domain](const proto::configuration&) -> outcome<proto::edit> {
    proto::edit edit;
    edit.set_take_out(domain);
    return edit;
  };
}

edit_hook Replace(const proto::inventory& inventory) {
  return [inventory](const proto::configuration&) -> outcome<proto::edit> {
    proto::edit edit;
    *edit.mutable_replace()->mutable_inventory() = inventory;
    return edit;
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_suite)

BOOST_AUTO_TEST_CASE(valid_inventory_is_accepted) {
  BOOST_TEST(static_cast<bool>(CheckInventory(ValidInventory())));
}

BOOST_AUTO_TEST_CASE(inventory_errors_name_the_field) {
  proto::inventory inventory = ValidInventory();
  inventory.mutable_vms(1)->set_domain("atlantis");
  CheckRefused(inventory, "vms[1].domain");

  inventory = ValidInventory();
  inventory.mutable_vms(2)->set_ip("host.name");
  CheckRefused(inventory, "vms[2].ip");

  inventory = ValidInventory();
  inventory.mutable_vms(2)->set_id(inventory.vms(0).id());
  CheckRefused(inventory, "vms[2].id");

  inventory = ValidInventory();
  inventory.mutable_versions(0)->set_manifest_digest("xyz");
  CheckRefused(inventory, "versions[0].manifestDigest");

  inventory = ValidInventory();
  inventory.mutable_services(0)->set_version("v9");
  CheckRefused(inventory, "services[0].version");

  inventory = ValidInventory();
  inventory.mutable_services(0)->set_cold_limit(0);
  CheckRefused(inventory, "services[0].coldLimit");
}

BOOST_AUTO_TEST_CASE(adapter_is_only_paired_with_its_base_version) {
  proto::inventory inventory = ValidInventory();
  auto* other = inventory.add_versions();
  other->set_id("v2");
  other->set_manifest_digest(std::string(64, 'b'));
  auto* adapter = inventory.add_adapters();
  adapter->set_id("judge");
  adapter->set_base_version("v2");
  adapter->set_manifest_digest(std::string(64, 'c'));
  inventory.mutable_services(0)->add_adapters("judge");
  CheckRefused(inventory, "services[0].adapters");
  inventory.mutable_services(0)->set_version("v2");
  BOOST_TEST(static_cast<bool>(CheckInventory(inventory)));
}

BOOST_AUTO_TEST_CASE(bad_rules_and_settings_name_what_is_allowed) {
  const std::string directory = harness::NewDirectory("rules-test");
  std::ofstream(directory + "/rules.ini") << "[loading]\nshare = 300\n";
  outcome<proto::rules> rules = ReadRules(directory + "/rules.ini");
  BOOST_TEST(!rules);
  BOOST_TEST(rules.LastReason().find("loading.share: found '300'") !=
             std::string::npos);

  std::ofstream(directory + "/unknown.ini") << "[loading]\nspeed = 3\n";
  BOOST_TEST(ReadRules(directory + "/unknown.ini")
                 .LastReason()
                 .find("loading.speed") != std::string::npos);

  std::ofstream(directory + "/node.ini") << "[node]\nvm = a\nport = banana\n";
  outcome<settings> read = ReadSettings(directory + "/node.ini");
  BOOST_TEST(!read);
  BOOST_TEST(read.LastReason().find("node.ini:3: node.port: found 'banana'") !=
                 std::string::npos,
             read.LastReason());

  std::ofstream(directory + "/node2.ini") << "[node]\nvm = a\nprot = 1\n";
  BOOST_TEST(ReadSettings(directory + "/node2.ini")
                 .LastReason()
                 .find("unknown setting") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(delta_turns_one_inventory_into_another) {
  proto::configuration configuration;
  *configuration.mutable_inventory() = ValidInventory();
  proto::inventory wanted = ValidInventory();
  wanted.mutable_vms()->DeleteSubrange(3, 1);
  wanted.mutable_services(0)->set_most_limit(9);
  proto::edit edit;
  edit.set_revision(1);
  *edit.mutable_delta() = DiffInventories(configuration.inventory(), wanted);
  BOOST_TEST(static_cast<bool>(TestEdit(configuration, edit)));
  ExecuteEdit(&configuration, edit);
  BOOST_TEST(IsEmptyDelta(DiffInventories(configuration.inventory(), wanted)));
}

BOOST_AUTO_TEST_CASE(lower_revisions_are_never_adopted) {
  configuration_log log;
  proto::configuration newer;
  newer.set_revision(7);
  *newer.mutable_inventory() = ValidInventory();
  BOOST_TEST(*log.AdoptSnapshot(newer));
  proto::configuration older = newer;
  older.set_revision(6);
  BOOST_TEST(!*log.AdoptSnapshot(older));
  BOOST_TEST(!*log.AdoptSnapshot(newer));
  BOOST_TEST(log.Revision().value == 7u);

  google::protobuf::RepeatedPtrField<proto::edit> edits;
  proto::edit* gap = edits.Add();
  gap->set_revision(9);
  gap->set_take_out("western");
  BOOST_TEST(!log.AdoptEdits(edits));
  BOOST_TEST(log.Revision().value == 7u);
}

BOOST_AUTO_TEST_CASE(race_ends_in_a_conflict_that_names_the_winner) {
  fake_store store;
  PublishEdit(store.Client(), {.edit_id = "first", .author = "ana"},
              Replace(ValidInventory()));
  store_client client = store.Client();
  // Another operator's edit is accepted between the read and the write of this
  // one.
  bool has_raced = false;
  auto racing =
      [&](const proto::configuration& current) -> outcome<proto::edit> {
    if (!std::exchange(has_raced, true)) {
      PublishEdit(store.Client(), {.edit_id = "winner", .author = "ben"},
                  TakeOut("western"));
    }
    return Replace(current.inventory())(current);
  };
  publish_result result =
      PublishEdit(client, {.edit_id = "loser", .author = "cai"}, racing);
  BOOST_TEST((result.status == publish_result::status_type::kConflict));
  BOOST_TEST(result.last_reason.find("winner") != std::string::npos,
             result.last_reason);
  BOOST_TEST(result.last_reason.find("ben") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(lost_answer_is_resolved_by_reading_back) {
  fake_store store;
  store.lost_answer_share = 1;
  publish_result result = PublishEdit(store.Client(), {.edit_id = "one"},
                                      Replace(ValidInventory()));
  BOOST_TEST((result.status == publish_result::status_type::kAccepted));
  BOOST_TEST(result.revision == 1u);
  BOOST_TEST(*ReadEditRevision(store.Client(), "one") == 1u);
  BOOST_TEST(*ReadEditRevision(store.Client(), "other") == 0u);
}

BOOST_AUTO_TEST_CASE(outage_is_distinguished_from_an_unknown_result) {
  fake_store store;
  store.is_down = true;
  publish_result result = PublishEdit(store.Client(), {.edit_id = "one"},
                                      Replace(ValidInventory()));
  BOOST_TEST((result.status == publish_result::status_type::kUnreachable));

  // The store performs the write, does not answer, and becomes unreachable.
  store.is_down = false;
  store.lost_answer_share = 1;
  store_client client = store.Client();
  auto write = client.write;
  client.write = [&](const std::string& key, const std::string& value,
                     uint64_t index) {
    store_write written = write(key, value, index);
    store.is_down = true;
    return written;
  };
  result = PublishEdit(client, {.edit_id = "two"}, Replace(ValidInventory()));
  BOOST_TEST((result.status == publish_result::status_type::kUnknown));
  store.is_down = false;
  BOOST_TEST(*ReadEditRevision(store.Client(), "two") == 1u);
}

BOOST_AUTO_TEST_CASE(
    racing_edits_with_lost_answers_are_neither_lost_nor_doubled) {
  fake_store store;
  store.lost_answer_share = 0.3;
  PublishEdit(store.Client(), {.edit_id = "base"}, Replace(ValidInventory()));
  constexpr int kEdits = 1000;
  std::map<std::string, uint64_t> accepted;
  std::mt19937_64 random(11);
  bool is_out = false;
  for (int i = 0; i < kEdits; ++i) {
    const std::string id = "edit-" + std::to_string(i);
    auto hook =
        [&](const proto::configuration& current) -> outcome<proto::edit> {
      // A tenth of the edits lose a race against one accepted in between.
      if (random() % 10 == 0) {
        const std::string other = "between-" + std::to_string(random());
        publish_result between = PublishEdit(
            store.Client(), {.edit_id = other},
            [&](const auto&) -> outcome<proto::edit> {
              proto::edit edit;
              edit.mutable_delta()->mutable_rules()->set_quarantine_crashes(3);
              return edit;
            });
        if (between.status == publish_result::status_type::kAccepted) {
          accepted[other] = between.revision;
        }
      }
      proto::edit edit;
      is_out = current.domains_out_size() > 0;
      if (is_out) {
        edit.set_return_domain("western");
      } else {
        edit.set_take_out("western");
      }
      return edit;
    };
    publish_result result =
        PublishEdit(store.Client(), {.edit_id = id, .may_rebase = true}, hook);
    if (result.status == publish_result::status_type::kAccepted)
      accepted[id] = result.revision;
  }
  BOOST_TEST(accepted.size() >= static_cast<size_t>(kEdits));
  outcome<stored_head> head = ReadHead(store.Client());
  // Each accepted edit created exactly one revision, and nothing else did.
  BOOST_TEST(head->head.revision() == accepted.size() + 1);
  std::set<uint64_t> revisions;
  for (const auto& [id, revision_number] : accepted)
    revisions.insert(revision_number);
  BOOST_TEST(revisions.size() == accepted.size());
  BOOST_TEST(static_cast<bool>(ReadConfiguration(store.Client(), head->head)));
  size_t snapshots = 0;
  for (const auto& [key, value] : store.values) {
    BOOST_TEST(value.first.size() <= 1024u * 1024u);
    snapshots += key.starts_with("fuchsiafall/snapshot/") ? 1 : 0;
  }
  BOOST_TEST(snapshots <= 2u);
}

BOOST_AUTO_TEST_CASE(process_behind_the_last_snapshot_catches_up) {
  fake_store store;
  PublishEdit(store.Client(), {.edit_id = "base"}, Replace(ValidInventory()));
  for (int i = 0; i < 200; ++i) {
    PublishEdit(
        store.Client(), {.edit_id = "edit-" + std::to_string(i)},
        [](const proto::configuration& current) -> outcome<proto::edit> {
          proto::edit edit;
          if (current.domains_out_size() > 0) {
            edit.set_return_domain("western");
          } else {
            edit.set_take_out("western");
          }
          return edit;
        });
  }
  outcome<stored_head> head = ReadHead(store.Client());
  BOOST_TEST(head->head.revision() == 201u);
  configuration_log log;
  outcome<store_changes> changes =
      ChangesSince(store.Client(), head->head, revision(3));
  BOOST_TEST_REQUIRE(static_cast<bool>(changes));
  BOOST_TEST_REQUIRE(changes->snapshot.has_value());
  BOOST_TEST(*log.AdoptSnapshot(*changes->snapshot));
  BOOST_TEST(static_cast<bool>(log.AdoptEdits(changes->edits)));
  BOOST_TEST(log.Revision().value == 201u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
