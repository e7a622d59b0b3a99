/// @file hash_func.cc Digests by Poco's crypto library, selection by
/// xxHash.
#include "hash_func.h"

#include <Poco/Crypto/DigestEngine.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace fuchsiafall {

digest DigestOf(std::string_view bytes) {
  Poco::Crypto::DigestEngine engine("SHA256");
  engine.update(bytes.data(), bytes.size());
  const Poco::DigestEngine::Digest& result = engine.digest();
  return digest(std::string(result.begin(), result.end()));
}

std::string ToHex(std::string_view bytes) {
  return Poco::DigestEngine::digestToHex({bytes.begin(), bytes.end()});
}

outcome<digest> DigestFromHex(const std::string& hex) {
  constexpr size_t kHexDigits = 64;
  if (hex.size() != kHexDigits ||
      hex.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return failure{"found '" + hex + "', allowed are 64 lower-case hex digits"};
  }
  Poco::DigestEngine::Digest bytes = Poco::DigestEngine::digestFromHex(hex);
  return digest(std::string(bytes.begin(), bytes.end()));
}

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::vector<size_t> RendezvousRank(std::string_view key,
                                   const std::vector<std::string>& members,
                                   size_t max_length) {
  uint64_t seed = Hash64(key);
  std::vector<std::pair<uint64_t, size_t>> scored;
  scored.reserve(members.size());
  for (size_t i = 0; i < members.size(); ++i)
    scored.emplace_back(Hash64(members[i], seed), i);
  size_t length = std::min(max_length, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<ptrdiff_t>(length),
                    scored.end(), std::greater<>());
  std::vector<size_t> ranking;
  ranking.reserve(length);
  for (size_t i = 0; i < length; ++i)
    ranking.push_back(scored[i].second);
  return ranking;
}

std::vector<std::string> RingNeighbours(const std::vector<std::string>& members,
                                        const std::string& self,
                                        size_t max_neighbours) {
  std::vector<std::pair<uint64_t, std::string>> ring;
  ring.reserve(members.size());
  for (const std::string& member : members)
    ring.emplace_back(Hash64(member), member);
  std::sort(ring.begin(), ring.end());
  auto own = std::find(ring.begin(), ring.end(), std::pair(Hash64(self), self));
  if (own == ring.end())
    return {};

  const size_t size = ring.size();
  const auto position = static_cast<size_t>(own - ring.begin());
  std::vector<std::string> neighbours;
  auto add = [&](size_t index) {
    const std::string& member = ring[index % size].second;
    bool known = std::find(neighbours.begin(), neighbours.end(), member) !=
                 neighbours.end();
    if (member != self && !known && neighbours.size() < max_neighbours)
      neighbours.push_back(member);
  };
  // On large rings, a base above 2 lets the jumps up to half the ring fit into
  // the allowed number of neighbours.
  const size_t jumps = std::max<size_t>(1, max_neighbours / 2);
  const double base =
      std::max(2.0, std::pow(static_cast<double>(size) / 2, 1.0 / jumps));
  for (double distance = 1; distance <= static_cast<double>(size) / 2;
       distance *= base) {
    const auto step = static_cast<size_t>(std::lround(distance));
    add(position + step);
    add(position + size - step);
  }
  return neighbours;
}

}  // namespace fuchsiafall
