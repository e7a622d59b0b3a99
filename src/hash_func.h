/// @file hash_func.h Digests and hash-based selection, which gives the same
/// result in all processes.
#ifndef HASH_FUNC_H_
#define HASH_FUNC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ids_type.h"
#include "outcome_type.h"

namespace fuchsiafall {

/// Computes the SHA-256 digest of bytes.
digest DigestOf(std::string_view bytes);

/// Formats bytes as lower-case hex digits.
std::string ToHex(std::string_view bytes);

/// Parses a digest from 64 lower-case hex digits.
outcome<digest> DigestFromHex(const std::string& hex);

/// Hashes bytes to 64 bits, with the same result on all machines.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// Ranks members for a key by rendezvous hashing (Thaler and Ravishankar,
/// 1998).
/// @param max_length Maximum length of the ranking.
/// @return Indices into members, best first.
std::vector<size_t> RendezvousRank(std::string_view key,
                                   const std::vector<std::string>& members,
                                   size_t max_length);

/// Chooses the neighbours of a member on a ring in hash order, at distances of
/// 1, 2, 4, ... in both directions, so that the relation is symmetric and its
/// graph has a logarithmic diameter. On large rings the distances grow faster,
/// to keep within the number of neighbours.
/// @param members All members; without self the result is empty.
/// @param max_neighbours Maximum number of neighbours.
std::vector<std::string> RingNeighbours(const std::vector<std::string>& members,
                                        const std::string& self,
                                        size_t max_neighbours);

}  // namespace fuchsiafall

#endif  // HASH_FUNC_H_
