/// @file spoilt_stream.h Streams of events whose servers break off or send
/// bytes that are no events, drawn at random.
#ifndef TESTS_SPOILT_STREAM_H_
#define TESTS_SPOILT_STREAM_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fuchsiafall::tests {

enum class answer_framing { kLength, kChunks, kUntilClose };

/// How the connection of an answer ends.
enum class answer_close {
  kWhole,  ///< After its body, as its framing says.
  kEarly,  ///< Inside its body, or with it if its framing is the close.
  kReset,
};

/// Answer of a server to a stream's request.
struct drawn_answer {
  std::string body;
  answer_framing framing = answer_framing::kChunks;
  answer_close close = answer_close::kWhole;
};

/// Stream of a few events, with ids that step evenly or not.
class drawn_stream {
 public:
  explicit drawn_stream(std::mt19937_64* random);
  /// Returns the text of the events with a higher id; all if there is none.
  std::string TextAfter(std::optional<uint64_t> id) const;
  /// Draws the answer of a sound server that goes on after an event.
  static drawn_answer DrawSound(const std::string& text,
                                std::mt19937_64* random);
  /// Draws the answer of a server that breaks off, sends bytes that are no
  /// events, or both. Its end shows unless its framing is the close, where a
  /// break between two events would not.
  static drawn_answer DrawFaulty(const std::string& text,
                                 std::mt19937_64* random);
  /// Draws the whole answer of a server that overwrites a digit of an id. The
  /// first event does not get the id of the last one that the caller has, as if
  /// it were repeated.
  static drawn_answer DrawWrongId(const std::string& text,
                                  std::optional<uint64_t> last_event,
                                  std::mt19937_64* random);
  const std::vector<uint64_t>& Ids() const { return ids_; }

 private:
  std::vector<uint64_t> ids_;
};

/// Returns the id of the last event that a text contains in full.
std::optional<uint64_t> LastIdOf(const std::string& text);

/// Returns the data of all events that a text contains.
std::string DataOf(const std::string& text);

/// Returns whether an answer contains nothing but the first events of a text.
bool IsPrefixInEvents(const std::string& received, const std::string& text);

}  // namespace fuchsiafall::tests

#endif  // TESTS_SPOILT_STREAM_H_
