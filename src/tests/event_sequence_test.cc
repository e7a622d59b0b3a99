/// @file event_sequence_test.cc Streams joined of the answers of several
/// servers, some of which break off or send bytes that are no events: the
/// caller has each event once, in order, and no other byte.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "event_sequence_base.h"
#include "tests/spoilt_stream.h"

namespace fuchsiafall::tests {

namespace {

constexpr int kMaxAttempts = 3;
constexpr int kSeriesPerSeed = 50;

/// What a caller has received of one response.
struct received_stream {
  std::string text;
  bool is_complete = false;
};

/// Delivers an answer in reads of any size.
/// @return Whether another attempt may follow.
bool Deliver(const drawn_answer& answer,
             event_sequence* events,
             std::mt19937_64* random,
             received_stream* received) {
  for (size_t at = 0; at < answer.body.size();) {
    const size_t size =
        std::min<size_t>(1 + (*random)() % 80, answer.body.size() - at);
    const answer_verdict verdict = events->OnBytes(
        std::string_view(answer.body).substr(at, size), &received->text);
    if (verdict != answer_verdict::kSound)
      return verdict == answer_verdict::kMalformed;
    at += size;
  }
  const bool ends_by_close = answer.framing == answer_framing::kUntilClose;
  const bool is_broken =
      answer.close == answer_close::kReset ||
      (answer.close == answer_close::kEarly && !ends_by_close);
  received->is_complete = !is_broken && events->OnAnswerEnd(ends_by_close);
  return !received->is_complete;
}

/// Kinds of answers of one response, each in percent.
struct answer_shares {
  uint64_t sound = 100;
  uint64_t wrong_id = 0;  ///< Of the others.
};

/// Plays one response of an entry to a caller that has some events.
received_stream Respond(const drawn_stream& stream,
                        std::optional<uint64_t> last_event,
                        answer_shares shares,
                        std::mt19937_64* random) {
  event_sequence events({.last_event = last_event});
  received_stream received;
  for (int i = 0; i < kMaxAttempts; ++i) {
    const std::string text = stream.TextAfter(events.ResumePoint());
    events.BeginAttempt();
    const bool is_sound = (*random)() % 100 < shares.sound;
    if (!is_sound && (*random)() % 8 == 0)
      continue;  // No head arrives.
    events.BeginAnswer();
    drawn_answer answer;
    if (is_sound) {
      answer = drawn_stream::DrawSound(text, random);
    } else if ((*random)() % 100 < shares.wrong_id) {
      answer = drawn_stream::DrawWrongId(text, events.LastEvent(), random);
    } else {
      answer = drawn_stream::DrawFaulty(text, random);
    }
    if (!Deliver(answer, &events, random, &received))
      break;
  }
  return received;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(event_sequence_suite)

BOOST_AUTO_TEST_CASE(no_series_of_faults_adds_to_a_stream_or_takes_from_it) {
  BOOST_TEST(rc::check([](uint64_t seed) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < kSeriesPerSeed; ++i) {
      const drawn_stream stream(&random);
      std::optional<uint64_t> last_event;
      if (random() % 4 == 0)
        last_event = stream.Ids()[random() % stream.Ids().size()];
      const received_stream received =
          Respond(stream, last_event, {.sound = 40}, &random);
      const std::string text = stream.TextAfter(last_event);
      RC_ASSERT(IsPrefixInEvents(received.text, text));
      if (received.is_complete)
        RC_ASSERT(received.text == text);
    }
  }));
}

// An id may be wrong without a sign of it, but no event is lost by it.
BOOST_AUTO_TEST_CASE(no_series_with_wrong_ids_loses_or_repeats_events) {
  BOOST_TEST(rc::check([](uint64_t seed) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < kSeriesPerSeed; ++i) {
      const drawn_stream stream(&random);
      const received_stream received =
          Respond(stream, std::nullopt, {.sound = 30, .wrong_id = 50}, &random);
      const std::string data = DataOf(stream.TextAfter(std::nullopt));
      RC_ASSERT(data.starts_with(DataOf(received.text)));
      if (received.is_complete)
        RC_ASSERT(DataOf(received.text) == data);
    }
  }));
}

// The caller resumes as often as its response breaks off, in the end at sound
// servers.
BOOST_AUTO_TEST_CASE(no_series_of_faults_leaves_a_stream_without_an_end) {
  BOOST_TEST(rc::check([](uint64_t seed) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < kSeriesPerSeed; ++i) {
      const drawn_stream stream(&random);
      std::string text;
      bool is_complete = false;
      for (uint64_t faulty = random() % 3; !is_complete && faulty > 0;
           --faulty) {
        const received_stream received =
            Respond(stream, LastIdOf(text), {.sound = 40}, &random);
        text += received.text;
        is_complete = received.is_complete;
      }
      if (!is_complete) {
        const received_stream received =
            Respond(stream, LastIdOf(text), {}, &random);
        text += received.text;
        is_complete = received.is_complete;
      }
      RC_ASSERT(is_complete);
      RC_ASSERT(text == stream.TextAfter(std::nullopt));
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
