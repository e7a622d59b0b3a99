/// @file hash_func.h Digests, and choices by hash on which all processes agree.
#ifndef HASH_FUNC_H_
#define HASH_FUNC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ids_type.h"
#include "outcome_type.h"

namespace fuchsiafall {

/// Computes the SHA-256 of some bytes.
digest DigestOf(std::string_view bytes);

/// Writes bytes as lower-case hex digits.
std::string ToHex(std::string_view bytes);

/// Reads a digest from 64 hex digits.
outcome<digest> DigestFromHex(const std::string& hex);

/// Hashes bytes to 64 bits; the same on all machines.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/// Ranks members for a key by rendezvous hashing (Thaler and Ravishankar,
/// 1998).
/// @param most Length of the ranking that is needed.
/// @return Indices into members, best first.
std::vector<size_t> RendezvousRank(std::string_view key,
                                   const std::vector<std::string>& members,
                                   size_t most);

/// Chooses the neighbours of a member on a ring in hash order, at distances of
/// 1, 2, 4, ... in both directions, so that the relation is symmetric and its
/// graph has a logarithmic diameter.
/// @param members All members, self among them or not.
/// @param most Greatest number of neighbours.
std::vector<std::string> RingNeighbours(const std::vector<std::string>& members,
                                        const std::string& self,
                                        size_t most);

}  // namespace fuchsiafall

#endif  // HASH_FUNC_H_
