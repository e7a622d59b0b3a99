/// @file manifest_book_test.cc Manifests read from an origin that corrupts
/// some of its responses.
#include <boost/test/unit_test.hpp>

#include "manifest_book_base.h"

namespace fuchsiafall::tests {

namespace {

constexpr uint64_t kVersion = 2;
const time_point kStart{std::chrono::hours(1)};

weights_manifest MakeManifest(char last_digit = '0') {
  weights_manifest manifest{
      .model = "model", .version = kVersion, .chunk_bytes = 10};
  for (char piece : {'a', 'b', 'c'})
    manifest.digests.push_back(std::string(64, piece));
  manifest.digests.back().back() = last_digit;
  return manifest;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(manifest_cache_suite)

BOOST_AUTO_TEST_CASE(one_good_reading_is_enough_without_a_doubt) {
  manifest_cache cache{{}};
  BOOST_TEST(cache.NeedsRead(kStart, kVersion));
  cache.OnReadStarted(kVersion);
  BOOST_TEST(!cache.NeedsRead(kStart, kVersion));
  const auto changed = cache.OnReadResult(kStart, kVersion, MakeManifest());
  BOOST_REQUIRE(changed.Value().has_value());
  BOOST_TEST(*changed);
  BOOST_TEST(!cache.NeedsRead(kStart + seconds(60), kVersion));
  BOOST_REQUIRE(cache.Find(kVersion) != nullptr);
  const auto location = cache.LocatePiece(cache.Find(kVersion)->pieces[1]);
  BOOST_REQUIRE(location.has_value());
  BOOST_TEST(location->index == 1u);
}

BOOST_AUTO_TEST_CASE(an_answer_that_cannot_be_used_is_asked_for_again) {
  manifest_cache cache{{}};
  cache.OnReadStarted(kVersion);
  BOOST_TEST(!cache.OnReadResult(kStart, kVersion, failure{"status 0"}));
  BOOST_TEST(!cache.NeedsRead(kStart, kVersion));
  BOOST_TEST(cache.NeedsRead(kStart + seconds(1), kVersion));
  weights_manifest other = MakeManifest();
  other.version = kVersion + 1;
  BOOST_TEST(!cache.OnReadResult(kStart, kVersion, other));
  BOOST_TEST((cache.Find(kVersion) == nullptr));
}

// After a corrupted digit in a manifest, one piece never matches its digest.
BOOST_AUTO_TEST_CASE(a_piece_that_never_matches_has_the_manifest_read_again) {
  manifest_cache cache{{}};
  time_point now = kStart;
  BOOST_TEST(*cache.OnReadResult(now, kVersion, MakeManifest('1')));
  cache.OnPieceMismatch(cache.Find(kVersion)->pieces.back());
  now += seconds(1);
  BOOST_REQUIRE(cache.NeedsRead(now, kVersion));
  // Two different reads confirm neither manifest; the first stays in use.
  BOOST_TEST(!*cache.OnReadResult(now, kVersion, MakeManifest('0')));
  now += seconds(1);
  BOOST_REQUIRE(cache.NeedsRead(now, kVersion));
  BOOST_TEST(*cache.OnReadResult(now, kVersion, MakeManifest('0')));
  BOOST_TEST((cache.Find(kVersion)->pieces.back().value.back() == '\xc0'));
  BOOST_TEST(!cache.NeedsRead(now + seconds(60), kVersion));
}

// The origin may corrupt two reads in the same way (soak seed 11).
BOOST_AUTO_TEST_CASE(two_readings_that_agree_may_both_be_wrong) {
  manifest_cache cache{{}};
  time_point now = kStart;
  for (int i = 0; i < 2; ++i) {
    (void)cache.OnReadResult(now, kVersion, MakeManifest('1'));
    now += seconds(1);
  }
  const digest wrong = cache.Find(kVersion)->pieces.back();
  for (int i = 0; i < 4; ++i)
    cache.OnPieceMismatch(wrong);
  BOOST_REQUIRE(cache.NeedsRead(now, kVersion));
  BOOST_TEST(*cache.OnReadResult(now, kVersion, MakeManifest('0')));
  BOOST_TEST((cache.Find(kVersion)->pieces.back() != wrong));
}

BOOST_AUTO_TEST_CASE(a_corrupt_piece_costs_one_more_reading_at_most) {
  manifest_cache cache{{}};
  time_point now = kStart;
  BOOST_TEST(*cache.OnReadResult(now, kVersion, MakeManifest()));
  cache.OnPieceMismatch(cache.Find(kVersion)->pieces.front());
  now += seconds(1);
  BOOST_TEST(!*cache.OnReadResult(now, kVersion, MakeManifest()));
  cache.OnPieceMismatch(cache.Find(kVersion)->pieces.front());
  BOOST_TEST(!cache.NeedsRead(now + seconds(60), kVersion));
}

BOOST_AUTO_TEST_CASE(shared_piece_is_not_read_from_the_older_version) {
  manifest_cache cache{{}};
  weights_manifest older = MakeManifest();
  older.version = kVersion - 1;
  BOOST_TEST(
      cache.OnReadResult(kStart, kVersion, MakeManifest()).Value().has_value());
  BOOST_TEST(
      cache.OnReadResult(kStart, kVersion - 1, older).Value().has_value());
  const auto location = cache.LocatePiece(cache.Find(kVersion)->pieces.front());
  BOOST_REQUIRE(location.has_value());
  BOOST_TEST(location->version == kVersion);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
