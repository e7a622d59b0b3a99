/// @file event_sequence_base.h Which events of a stream its caller has, and
/// what servers' answers may add to them. Has no input or output.
#ifndef EVENT_SEQUENCE_BASE_H_
#define EVENT_SEQUENCE_BASE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "event_splitter_base.h"

namespace fuchsiafall {

/// What the bytes of an answer mean for its stream.
enum class answer_verdict {
  kSound,
  /// The answer is malformed. Another server can go on.
  kMalformed,
  /// It is malformed, and the caller may have an event at a wrong place. Any
  /// that follows could skip some or come twice.
  kUnresumable,
};

struct event_sequence_options {
  /// Last event that the caller had before its request.
  std::optional<uint64_t> last_event;
  size_t max_event_bytes = 262144;
};

/// Joins the answers of one or more servers to a stream of events, each once
/// and in order. Ids increase within an answer, but need not step evenly. A
/// resumed answer may repeat events that the caller has, at its start only.
class event_sequence {
 public:
  explicit event_sequence(event_sequence_options options = {})
      : options_(options), last_event_(options.last_event) {}

  /// Begins an attempt at a server that goes on after ResumePoint().
  void BeginAttempt();
  /// Handles the head of the attempt's answer.
  void BeginAnswer();
  /// Handles bytes of the answer.
  /// @param forwarded Receives the blocks for the caller, also those before
  /// the fault of a malformed answer.
  answer_verdict OnBytes(std::string_view bytes, std::string* forwarded);
  /// Tells what is wrong with a malformed answer, for the log.
  std::string_view Fault() const { return fault_; }
  /// Handles an end of the answer that is not known to be a break. Without a
  /// new event, the stream is complete if the answer repeated the last one as
  /// it had to, or if its framing shows that none is left after the last one.
  /// @param ends_by_close Whether it is that of the connection, which a server
  /// that fails causes as well.
  /// @return Whether the stream is complete.
  bool OnAnswerEnd(bool ends_by_close);

  /// Returns the event after which another server has to go on. It is the one
  /// before the last if the answer has to repeat that one.
  std::optional<uint64_t> ResumePoint() const;
  /// Returns the last event that the caller has.
  std::optional<uint64_t> LastEvent() const { return last_event_; }
  /// Returns the number of events that were forwarded.
  uint32_t ForwardedCount() const { return forwarded_count_; }
  /// Whether the current answer had an event, also one that is repeated.
  bool HasAnswerEvent() const { return answer_event_.has_value(); }
  /// Bytes of an incomplete event of the current answer.
  std::string_view Incomplete() const { return splitter_.Incomplete(); }
  /// Frees the bytes of the incomplete event of an answer that is given up.
  void DropIncomplete() { splitter_.Clear(); }

 private:
  /// Whether the current answer has to begin with the last event. Only valid
  /// before its first new event.
  bool HasToRepeatLast() const;
  /// Whether the caller has an event by an earlier answer.
  bool IsRepeated(uint64_t id) const;
  /// Whether the next event of the current answer cannot have this id, unless
  /// it or the one before it is wrong.
  bool IsOutOfOrder(uint64_t id) const;
  answer_verdict OnOutOfOrder(uint64_t id);
  answer_verdict OnMalformed(std::string_view fault);
  /// Records an event that is forwarded to the caller.
  void RecordEvent(uint64_t id);

  event_sequence_options options_;
  std::optional<uint64_t> last_event_;      ///< Last one that the caller has.
  std::optional<uint64_t> previous_event_;  ///< The one before it.
  /// Whether the place of the last event in the stream is uncertain: its id
  /// may be wrong.
  bool is_last_uncertain_ = false;
  /// Whether the next answer has to repeat the last event, to show what follows
  /// it.
  bool must_repeat_last_ = false;
  /// Steps between the ids of two events of one answer; 0 if unknown.
  uint64_t min_step_ = 0;
  uint64_t max_step_ = 0;
  uint32_t forwarded_count_ = 0;
  bool has_answer_ = false;  ///< Whether the head of an answer has arrived.

  // The current attempt.
  std::optional<uint64_t> resumed_after_;
  bool is_resumed_ = false;  ///< Whether an earlier answer began the stream.
  std::optional<uint64_t> answer_event_;  ///< Last one of the answer.
  bool has_new_event_ = false;  ///< Whether it had one that was forwarded.
  event_splitter splitter_;
  std::string_view fault_;
};

}  // namespace fuchsiafall

#endif  // EVENT_SEQUENCE_BASE_H_
