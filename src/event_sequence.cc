/// @file event_sequence.cc Which events of a stream its caller has, and what
/// servers' answers may add to them.
#include "event_sequence_base.h"

#include <algorithm>

#include "server_sent_event_func.h"

namespace fuchsiafall {

std::optional<uint64_t> event_sequence::ResumePoint() const {
  // Where ids step unevenly, the next id does not show whether events are
  // missing before it, unless the answer begins with the last event.
  const bool is_repeat_needed =
      is_last_uncertain_ || must_repeat_last_ || min_step_ != max_step_;
  return is_repeat_needed && previous_event_ ? previous_event_ : last_event_;
}

void event_sequence::BeginAttempt() {
  resumed_after_ = ResumePoint();
  is_resumed_ = false;
  answer_event_.reset();
  has_new_event_ = false;
  splitter_.Clear();
}

void event_sequence::BeginAnswer() {
  is_resumed_ = has_answer_;
  has_answer_ = true;
}

answer_verdict event_sequence::OnBytes(std::string_view bytes,
                                       std::string* forwarded) {
  splitter_.Add(bytes);
  std::string block;
  while (splitter_.Next(&block)) {
    const parsed_event_block parsed = ParseEventBlock(block);
    if (parsed.type == event_block_type::kMalformed)
      return OnMalformed("bytes that are no event");
    if (parsed.type == event_block_type::kFiller) {
      if (!is_resumed_ || has_new_event_)
        *forwarded += block;
      continue;
    }
    if (IsOutOfOrder(parsed.id))
      return OnOutOfOrder(parsed.id);
    if (!IsRepeated(parsed.id)) {
      RecordEvent(parsed.id);
      *forwarded += block;
    } else if (parsed.id == last_event_ && HasToRepeatLast()) {
      is_last_uncertain_ = false;  // Two answers agree.
    }
    answer_event_ = parsed.id;
  }
  if (Incomplete().size() > options_.max_event_bytes)
    return OnMalformed("event too long");
  return answer_verdict::kSound;
}

bool event_sequence::OnAnswerEnd(bool ends_by_close) {
  if (!Incomplete().empty())
    return false;
  if (has_new_event_)
    return true;
  bool is_complete = false;
  if (HasToRepeatLast()) {
    is_complete = answer_event_ && answer_event_ == last_event_;
  } else {
    is_complete =
        !answer_event_ && last_event_ && !is_last_uncertain_ && !ends_by_close;
  }
  must_repeat_last_ = !is_complete;
  return is_complete;
}

bool event_sequence::HasToRepeatLast() const {
  return resumed_after_ != last_event_;
}

bool event_sequence::IsRepeated(uint64_t id) const {
  return is_resumed_ && last_event_ && id <= *last_event_;
}

bool event_sequence::IsOutOfOrder(uint64_t id) const {
  if (answer_event_ && id <= *answer_event_)
    return true;
  if (!last_event_)
    return false;
  if (IsRepeated(id)) {
    // Another event would mean that the last one is not the next.
    return HasToRepeatLast() && id != *last_event_;
  }
  if (id <= *last_event_)
    return true;  // The first answer goes on after what the caller has.
  if (!is_resumed_ || has_new_event_)
    return false;
  // Events that come again lead up to the last one.
  if ((HasToRepeatLast() || answer_event_) && answer_event_ != last_event_)
    return true;
  // A step larger than those before may show that events are missing. It does
  // not in an answer that had to repeat the last event.
  return !HasToRepeatLast() && max_step_ > 0 && id - *last_event_ > max_step_;
}

answer_verdict event_sequence::OnMalformed(std::string_view fault) {
  fault_ = fault;
  return answer_verdict::kMalformed;
}

answer_verdict event_sequence::OnOutOfOrder(uint64_t id) {
  const answer_verdict verdict = OnMalformed("event out of order");
  if (is_last_uncertain_)
    return answer_verdict::kUnresumable;
  if (last_event_ && id > *last_event_)
    must_repeat_last_ = true;
  // If there is room for this event before the last one, either may be wrong.
  is_last_uncertain_ =
      has_new_event_ && previous_event_ && id > *previous_event_ + 1;
  return verdict;
}

void event_sequence::RecordEvent(uint64_t id) {
  const uint64_t step = last_event_ ? id - *last_event_ : 0;
  // Ids need not step evenly, but a wrong id that is too high shows as a step
  // larger than those before. There is no room for one in a step of 1.
  is_last_uncertain_ = !last_event_ || step > std::max<uint64_t>(1, max_step_);
  if (answer_event_ && answer_event_ == last_event_) {
    min_step_ = min_step_ == 0 ? step : std::min(min_step_, step);
    max_step_ = std::max(max_step_, step);
  }
  previous_event_ = last_event_;
  last_event_ = id;
  must_repeat_last_ = false;
  has_new_event_ = true;
  ++forwarded_count_;
}

}  // namespace fuchsiafall
