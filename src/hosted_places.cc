/// @file hosted_places.cc Places of the engine of a hosted agent, with the
/// messages to and from entries.
#include "hosted_places_base.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "place_message_func.h"

namespace fuchsiafall {

namespace {

/// Each organisation has several counters, so their number is limited.
constexpr size_t kMaxCountedOrganisations = 32;
constexpr milliseconds kMalformedLogInterval{1000};

/// Replaces what would break the lines of counters and of the log.
std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](unsigned char c) {
        return std::isalnum(c) == 0 && c != '-' && c != '_' && c != '.';
      },
      '_');
  return text;
}

/// Describes a request that waits or has waited.
std::string Describe(const waiting_place& request) {
  return "id=" + std::to_string(request.call) + " entry=" + request.entry +
         " rank=" + std::to_string(request.rank) +
         " organisation=" + Printable(request.organisation);
}

}  // namespace

void hosted_places::OnPlaceQuestion(time_point now,
                                    const std::string& entry,
                                    const proto::place_question& message) {
  if (!IsInRange(message))
    ReportMalformed(now, entry);
  const place_request request = ReadPlaceRequest(entry, message);
  const trait_verdict verdict =
      hooks_.crashes->Judge(now, entry, request.traits);
  const bool is_repeated =
      table_.Waiting().Find(entry, request.call) != nullptr;
  place_reply reply;
  if (!verdict.quarantined)
    reply = table_.RequestPlace(now, request);
  Complete(now, entry, request.call, verdict, &reply);
  if (!is_repeated || !reply.is_queued)
    Count(reply, request.rank, request.organisation);
  if (const waiting_place* waiting = table_.Waiting().Find(entry, request.call);
      waiting != nullptr && !is_repeated) {
    hooks_.log(log_event::kPlaceQueued,
               Describe(*waiting) + " expected_ms=" +
                   std::to_string(reply.expected_free_in.count()));
  }
  Send(entry, request.call, reply);
  Decide(now);
}

void hosted_places::OnPlaceReturn(time_point now,
                                  const std::string& entry,
                                  const proto::place_return& message) {
  if (const auto released = table_.Release(now, entry, message.call()))
    hooks_.crashes->OnPlaceReleased(now, *released, ReadAttemptResult(message));
  Decide(now);
}

void hosted_places::OnEngineReport(time_point now,
                                   const staged_engine_report& report,
                                   bool is_restarted) {
  if (is_restarted)
    table_.OnEngineRestart(now);
  table_.OnReport(now, report);
  if (report.cold_remaining > milliseconds(0))
    table_.SetColdUntil(now + report.cold_remaining);
}

void hosted_places::SetAccepting(time_point now, bool is_accepting) {
  table_.SetAccepting(is_accepting);
  Decide(now);
}

void hosted_places::Decide(time_point now) {
  for (const place_decision& decision : table_.DecideWaiting(now))
    SendDecision(now, decision);
  UpdateGauges();
  if (due_timer_ != 0)
    hooks_.cancel_timer(std::exchange(due_timer_, 0));
  if (const auto due = table_.NextDue()) {
    due_timer_ = hooks_.start_timer(*due, [this](time_point at) {
      due_timer_ = 0;
      Decide(at);
    });
  }
}

void hosted_places::Complete(time_point now,
                             const std::string& entry,
                             uint64_t call,
                             const trait_verdict& verdict,
                             place_reply* reply) {
  reply->weights = hooks_.weights();
  reply->is_suspect = verdict.is_suspect && !verdict.quarantined;
  if (verdict.quarantined) {
    if (reply->is_granted || table_.Waiting().Find(entry, call) != nullptr)
      table_.Release(now, entry, call);
    reply->is_granted = false;
    reply->is_queued = false;
    reply->is_quarantined = true;
    reply->quarantined_trait = *verdict.quarantined;
    reply->cause = place_cause::kQuarantined;
    hooks_.counters->Count("places_quarantined");
  } else if (reply->is_granted && reply->weights.version == 0) {
    // A place that was granted before the engine loaded.
    table_.Release(now, entry, call);
    reply->is_granted = false;
    reply->cause = place_cause::kNoWeights;
  }
}

void hosted_places::Send(const std::string& entry,
                         uint64_t call,
                         const place_reply& reply) {
  hooks_.send(entry, [&](proto::place_answer* message) {
    WritePlaceReply(call, reply, message);
  });
}

void hosted_places::SendDecision(time_point now,
                                 const place_decision& decision) {
  const waiting_place& request = decision.request;
  place_reply reply = decision.reply;
  if (reply.cause != place_cause::kReleased) {
    Complete(now, request.entry, request.call,
             hooks_.crashes->Judge(now, request.entry, request.traits), &reply);
    Send(request.entry, request.call, reply);
  }
  Count(reply, request.rank, request.organisation);
  hooks_.log(log_event::kPlaceDecided,
             Describe(request) +
                 " granted=" + std::to_string(reply.is_granted) +
                 " waited_ms=" + std::to_string(ToMs(now - request.asked_at)) +
                 " why=" + std::string(NameOf(reply.cause)));
}

void hosted_places::Count(const place_reply& reply,
                          uint32_t rank,
                          const std::string& organisation) {
  const std::string outcome = reply.is_granted  ? "granted"
                              : reply.is_queued ? "queued"
                                                : "denied";
  hooks_.counters->Count("places_" + outcome);
  if (reply.cause == place_cause::kNone && !reply.is_queued)
    return;
  std::string name = "places_" + outcome;
  if (!reply.is_queued)
    name += "_" + std::string(NameOf(reply.cause));
  hooks_.counters->Count(name + "_rank_" + std::to_string(rank));
  hooks_.counters->Count(name + "_organisation_" + CounterNameOf(organisation));
}

std::string hosted_places::CounterNameOf(const std::string& organisation) {
  if (counted_organisations_.size() < kMaxCountedOrganisations)
    counted_organisations_.insert(organisation);
  return counted_organisations_.contains(organisation) ? Printable(organisation)
                                                       : "other";
}

void hosted_places::UpdateGauges() {
  std::array<int64_t, kMaxRank + 1> waiting{};
  for (const waiting_place& item : table_.Waiting().Items())
    ++waiting[item.rank];
  for (uint32_t rank = 0; rank <= kMaxRank; ++rank) {
    if (waiting[rank] != std::exchange(shown_waiting_[rank], waiting[rank])) {
      hooks_.counters->SetGauge("places_waiting_rank_" + std::to_string(rank),
                                waiting[rank]);
    }
  }
}

void hosted_places::ReportMalformed(time_point now, const std::string& entry) {
  hooks_.counters->Count("place_requests_malformed");
  if (malformed_logged_at_ &&
      now - *malformed_logged_at_ < kMalformedLogInterval) {
    return;
  }
  malformed_logged_at_ = now;
  hooks_.log(log_event::kPlaceRequestLimited, "entry=" + entry);
}

}  // namespace fuchsiafall
