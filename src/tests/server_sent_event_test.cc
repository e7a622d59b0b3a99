/// @file server_sent_event_test.cc Which blocks of an event stream are events.
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "server_sent_event_func.h"

namespace fuchsiafall::tests {

namespace {

event_block_type TypeOf(const std::string& block) {
  return ParseEventBlock(block).type;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_sent_event_suite)

BOOST_AUTO_TEST_CASE(an_event_has_one_id_in_any_of_its_lines) {
  for (const char* block :
       {"id: 12\ndata: x\n\n", "id:12\ndata\n\n", "data: x\nid: 12\n\n",
        "id: 12\r\ndata: x\r\n\r\n", "\nid: 12\ndata: x\n\n",
        "weight-versions: 3\nid: 12\ndata\n\n",
        ": comment\nevent: token\nid: 12\ndata: \xc3\xa9\n\n"}) {
    const parsed_event_block parsed = ParseEventBlock(block);
    BOOST_TEST((parsed.type == event_block_type::kEvent), block);
    BOOST_TEST(parsed.id == 12u);
  }
}

BOOST_AUTO_TEST_CASE(comments_and_retry_times_are_no_events) {
  for (const char* block : {"\n\n", "\r\n\r\n", ":\n\n", ": alive\n: still\n\n",
                            "retry: 3000\n\n"}) {
    BOOST_TEST((TypeOf(block) == event_block_type::kFiller), block);
  }
}

// Such blocks were passed on as events without an id.
BOOST_AUTO_TEST_CASE(a_block_without_a_readable_id_passes_for_an_event) {
  for (const char* block :
       {"data: x\n\n", "xd: 6\ndata: x\n\n", "id 6\ndata: x\n\n",
        "id: \ndata: x\n\n", "id: 6x\ndata: x\n\n", "id: -6\ndata: x\n\n",
        "id: 99999999999999999999\ndata: x\n\n", "garbage\n\n"}) {
    BOOST_TEST((TypeOf(block) == event_block_type::kMalformed), block);
  }
}

// The standard dispatches no event without data. Its data would be missing from
// the stream.
BOOST_AUTO_TEST_CASE(an_id_without_data_passes_for_an_event) {
  for (const char* block :
       {"id: 6\n\n", "id: 6\nevent: token\n\n", "id: 6\nxata: x\n\n",
        "id: 6\n\rata: x\n\n", "id: 6\n\rdata: x\n\n"}) {
    BOOST_TEST((TypeOf(block) == event_block_type::kMalformed), block);
  }
}

// The rest of an overwritten event follows an id that can be read.
BOOST_AUTO_TEST_CASE(an_overwritten_block_with_an_id_passes_for_an_event) {
  for (const char* block :
       {"id: 6\ndata: x!\nid: 12\ndata: y\n\n",
        "id: 6\ndata: x\n!id: 12\ndata: y\n\n", "id: 6\nda\xff\xfe\n\n",
        "id: 6\ndata: \xc3\n\n", "id: 6\ndata: \xed\xa0\x80\n\n",
        "id: 6\nno field\n\n"}) {
    BOOST_TEST((TypeOf(block) == event_block_type::kMalformed), block);
  }
}

BOOST_AUTO_TEST_CASE(random_bytes_pass_for_an_event_or_a_comment) {
  constexpr int kBlocks = 2000;
  std::mt19937_64 random(11);
  for (int i = 0; i < kBlocks; ++i) {
    std::string block;
    while (block.size() < 64)
      block += static_cast<char>(random());
    BOOST_TEST((TypeOf(block + "\n\n") == event_block_type::kMalformed));
    BOOST_TEST((TypeOf("id: 6\ndata: x" + block + "\n\n") ==
                event_block_type::kMalformed));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
