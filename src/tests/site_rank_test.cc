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

// With the priority of the organisation alone, all kinds of request of most
// organisations would have one rank.
BOOST_AUTO_TEST_CASE(organisation_comes_before_route_and_route_still_counts) {
  const site_tenant first{.name = "first", .priority = 0};
  const site_tenant usual{.name = "usual", .priority = 1};
  const site_route high = MakeRoute("high", 0);
  const site_route low = MakeRoute("low", 2);
  const site_index index = MakeIndex({high, low}, {first, usual});
  const std::pair<const site_route*, const site_tenant*> in_order[] = {
      {&high, &first}, {&low, &first}, {&high, &usual}, {&low, &usual}};
  for (uint32_t i = 0; i < std::size(in_order); ++i) {
    const auto [route, tenant] = in_order[i];
    BOOST_TEST(index.RankOf("llm", *route, tenant).rank == i);
    BOOST_TEST(index.RankOf("llm", *route, tenant).route_rank == i % 2);
  }
}

BOOST_AUTO_TEST_CASE(rank_is_that_of_the_route_without_one_of_an_organisation) {
  const site_tenant unranked{.name = "a"};
  std::vector<site_route> routes;
  for (int i = 0; i < 12; ++i)
    routes.push_back(MakeRoute(std::to_string(i), 10 * i - 30));
  for (const auto& tenants : {std::vector<site_tenant>(), {unranked}}) {
    const site_index index = MakeIndex(routes, tenants);
    const site_tenant* tenant = tenants.empty() ? nullptr : &unranked;
    for (uint32_t i = 0; i < routes.size(); ++i) {
      BOOST_TEST(index.RankOf("llm", routes[i], tenant).rank ==
                 std::min(i, kMaxRank));
    }
  }
}

// Deployments whose routes have one priority are served as before.
BOOST_AUTO_TEST_CASE(service_is_ranked_if_its_routes_differ_in_priority) {
  const site_tenant first{.name = "first", .priority = 0};
  const site_tenant usual{.name = "usual", .priority = 1};
  BOOST_TEST(!MakeIndex({MakeRoute("a", 1), MakeRoute("b", 1)}, {first, usual})
                  .IsRanked("llm"));
  BOOST_TEST(MakeIndex({MakeRoute("a", 0), MakeRoute("b", 1)}, {usual})
                 .IsRanked("llm"));
  site_route anonymous = MakeRoute("c", 0);
  anonymous.is_anonymous = true;
  const site_index index =
      MakeIndex({MakeRoute("a", 1), MakeRoute("b", 1), anonymous}, {usual});
  BOOST_TEST(!index.IsRanked("llm"));
  BOOST_TEST(index.RankOf("llm", anonymous, nullptr).rank == 0u);
  BOOST_TEST(!index.IsRanked("other"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
