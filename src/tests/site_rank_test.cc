/// @file site_rank_test.cc Ranks of requests, and the services that have
/// requests of several ranks.
#include <boost/test/unit_test.hpp>

#include "site_index_base.h"

namespace fuchsiafall::tests {

namespace {

site_route MakeRoute(const std::string& name, int priority) {
  return {.name = name,
          .host = name,
          .prefix = "/",
          .priority = priority,
          .targets = {{"llm", 1}}};
}

site_index MakeIndex(std::vector<site_route> routes,
                     std::vector<site_tenant> tenants) {
  site_view view;
  view.configuration.routes = std::move(routes);
  view.configuration.tenants = std::move(tenants);
  return site_index(std::make_shared<const site_view>(std::move(view)));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(site_rank_suite)

BOOST_AUTO_TEST_CASE(rank_of_the_organisation_precedes_that_of_the_route) {
  const site_route route = MakeRoute("drafts", 2);
  const site_tenant ranked{.name = "a", .priority = 1};
  const site_tenant unranked{.name = "b"};
  BOOST_TEST(RankOf(route, nullptr) == 2u);
  BOOST_TEST(RankOf(route, &unranked) == 2u);
  BOOST_TEST(RankOf(route, &ranked) == 1u);
  BOOST_TEST(RankOf(MakeRoute("low", 50), nullptr) == kMaxRank);
  BOOST_TEST(RankOf(MakeRoute("negative", -3), nullptr) == 0u);
}

BOOST_AUTO_TEST_CASE(service_is_ranked_if_its_requests_differ_in_rank) {
  const site_tenant tenant{.name = "a"};
  BOOST_TEST(!MakeIndex({MakeRoute("a", 1), MakeRoute("b", 1)}, {tenant})
                  .IsRanked("llm"));
  BOOST_TEST(MakeIndex({MakeRoute("a", 0), MakeRoute("b", 1)}, {tenant})
                 .IsRanked("llm"));
  BOOST_TEST(
      MakeIndex({MakeRoute("a", 1)}, {tenant, {.name = "b", .priority = 0}})
          .IsRanked("llm"));
  // All requests have the rank of their organisation, whatever their route.
  BOOST_TEST(!MakeIndex({MakeRoute("a", 0), MakeRoute("b", 1)},
                        {{.name = "b", .priority = 3}})
                  .IsRanked("llm"));
  BOOST_TEST(!MakeIndex({MakeRoute("a", 0)}, {}).IsRanked("other"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
