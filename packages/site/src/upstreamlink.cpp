#include "upstreamlink.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Long-poll time for the end of a run. The protocol allows at most 2 s; this
/// is short enough to detect a dead connection well within a lease.
constexpr milliseconds HoldWait{1000};
/// The same while other tasks wait for a run on the upstream to become active.
constexpr milliseconds EarlyWait{120};
/// Added to the long-poll time for the answer itself.
constexpr milliseconds AnswerAllowance{600};
/// Timeout of a poll that the upstream answers at once, such as the first one.
constexpr milliseconds FirstLimit{500};
/// Timeouts of commands; an upstream answers within a few milliseconds.
constexpr milliseconds StartLimit{250};
constexpr milliseconds StopLimit{400};
constexpr milliseconds PaceLimit{600};
/// Pause between polls of an upstream that does not answer.
constexpr milliseconds SilentPause{250};
constexpr milliseconds StopRetryPause{150};
/// Longest wait until ends are stored, and the interval between checks.
constexpr milliseconds StoreWait{250};
constexpr milliseconds StorePoll{8};
/// After this many unanswered polls the lease is no longer extended, so that it
/// certainly expires.
constexpr int QuestionsBeforeLapse = 2;

} // namespace

UpstreamLink::UpstreamLink(std::shared_ptr<LinkContext> Context,
                           UpstreamReport Report,
                           std::unique_ptr<IUpstreamClient> Client)
    : Context(std::move(Context)), Report(std::move(Report)),
      Client(std::move(Client)),
      Lease(this->Context->Bounds, this->Context->InheritedUntil,
            this->Context->Clock.now()) {}

void UpstreamLink::run() {
  spawn(this->Context->Executor, "upstream-hold",
        [Self = this->shared_from_this()] { return Self->holdLoop(); });
}

bool UpstreamLink::active() const {
  return !this->Closed && !this->Context->Stopped;
}

void UpstreamLink::lose(std::string_view Reason) {
  this->Closed = true;
  this->Context->Plan.loseUpstream(this->Report.Id, Reason,
                                   this->Context->Clock.now());
  this->Context->Decide.notify();
}

void UpstreamLink::take(const HoldAnswer &Answer, Instant SentAt) {
  const Instant Now = this->Context->Clock.now();
  switch (Answer.Outcome) {
  case HoldOutcome::Answered: {
    const std::int64_t Born = Answer.Listing.BornMs;
    if (Born && this->Report.BornMs && Born != this->Report.BornMs) {
      this->lose("another life answers under its id");
      return;
    }
    this->Report.BornMs = Born ? Born : this->Report.BornMs;
    this->Unanswered = 0;
    this->Lease.answered(Answer.Listing.ClockMs, Now);
    // An answer to an older poll may list runs as active that have ended since.
    // Its ends are still valid and must be applied, as the upstream may be gone
    // before it can list them again.
    if (SentAt < this->NewestListing) {
      this->Context->Plan.listEnds(this->Report.Id, Answer.Listing.Ended, Now);
      this->Context->Decide.notify();
      return;
    }
    this->NewestListing = SentAt;
    this->Context->Plan.listRuns(this->Report.Id, Answer.Listing, SentAt, Now);
    this->Context->Decide.notify();
    return;
  }
  case HoldOutcome::Superseded:
    logEvent(LogLevel::Warning, "ownership.superseded",
             {{"upstream", this->Report.Id.str()},
              {"token", std::to_string(this->Context->Ownership.token())}});
    this->Context->Ownership.superseded();
    return;
  case HoldOutcome::WrongLife:
    this->lose("another life answers at its address");
    return;
  case HoldOutcome::Refused: // A network cut can look the same, so this does
                             // not prove an end.
  case HoldOutcome::NoAnswer:
    ++this->Unanswered;
    if (this->Unanswered == QuestionsBeforeLapse)
      logEvent(LogLevel::Warning, "upstream.silent",
               {{"upstream", this->Report.Id.str()},
                {"pool", this->Report.Pool.str()}});
    if (this->Unanswered >= QuestionsBeforeLapse && this->Lease.hasRunOut(Now))
      this->lose("silent until its lease ran out");
    return;
  }
}

Async<void> UpstreamLink::holdLoop() {
  while (this->active()) {
    const Instant SentAt = this->Context->Clock.now();
    if (!this->Context->Ownership.mayOrder(SentAt)) {
      co_await pauseFor(SilentPause);
      continue;
    }
    HoldQuestion Question{
        .Token = this->Context->Ownership.token(),
        .Acknowledged = this->Context->Plan.acknowledged(this->Report.Id)};
    const bool Settled = this->Lease.clockKnown() && this->Unanswered == 0;
    if (this->Lease.clockKnown() && this->Unanswered < QuestionsBeforeLapse)
      Question.LeaseUntilMs = this->Lease.extend(SentAt);
    if (Settled)
      Question.Wait =
          this->Context->Plan.wantsEarlyLook(this->Report.Id, SentAt)
              ? EarlyWait
              : HoldWait;
    const Duration Limit = Settled ? HoldWait + AnswerAllowance : FirstLimit;
    const HoldAnswer Answer = co_await this->Client->hold(Question, Limit);
    if (!this->active())
      co_return;
    this->take(Answer, SentAt);
    if (!this->active())
      co_return;
    if (this->Unanswered > 0)
      co_await pauseFor(SilentPause);
    else if (!Answer.Listing.Ended.empty())
      co_await this->waitUntilStored(Answer.Listing.Ended.back().Sequence);
  }
}

Async<void> UpstreamLink::waitUntilStored(std::int64_t Sequence) {
  // An upstream answers at once while it has unacknowledged ends, so polling
  // before they are stored would be a busy loop.
  const Instant Until = this->Context->Clock.now() + StoreWait;
  while (this->active() && this->Context->Clock.now() < Until &&
         this->Context->Plan.acknowledged(this->Report.Id) < Sequence)
    co_await pauseFor(StorePoll);
}

void UpstreamLink::send(StartOrder Order) {
  spawn(this->Context->Executor, "upstream-start",
        [Self = this->shared_from_this(), Order = std::move(Order)] {
          return Self->startOne(Order);
        });
}

void UpstreamLink::send(StopOrder Order) {
  spawn(this->Context->Executor, "upstream-stop",
        [Self = this->shared_from_this(), Order = std::move(Order)] {
          return Self->stopOne(Order);
        });
}

void UpstreamLink::send(PaceOrder Order) {
  spawn(this->Context->Executor, "upstream-pace",
        [Self = this->shared_from_this(), Order = std::move(Order)] {
          return Self->paceOne(Order);
        });
}

Async<void> UpstreamLink::startOne(StartOrder Order) {
  const Instant Now = this->Context->Clock.now();
  StartOutcome Outcome = StartOutcome::Refused; // Holds if nothing is sent.
  const RunId Run = Order.Run;
  if (this->active() && this->Context->Ownership.mayOrder(Now) &&
      this->Lease.clockKnown()) {
    const std::int64_t Until = this->Lease.extend(Now);
    Outcome = co_await this->Client->start(
        std::move(Order), this->Context->Ownership.token(), Until, StartLimit);
  }
  if (this->Context->Stopped)
    co_return;
  if (Outcome == StartOutcome::Superseded)
    this->Context->Ownership.superseded();
  this->Context->Plan.startAnswered(this->Report.Id, Run, Outcome,
                                    this->Context->Clock.now());
  if (Outcome != StartOutcome::Accepted)
    this->Context->Decide.notify();
}

Async<void> UpstreamLink::stopOne(StopOrder Order) {
  while (this->active()) {
    if (!this->Context->Ownership.mayOrder(this->Context->Clock.now()))
      co_return;
    const StopOutcome Outcome = co_await this->Client->stop(
        Order, this->Context->Ownership.token(), StopLimit);
    if (!this->active())
      co_return;
    this->Context->Plan.stopAnswered(this->Report.Id, Order.Run, Outcome,
                                     this->Context->Clock.now());
    if (Outcome == StopOutcome::Taken)
      co_await this->lookNow();
    if (Outcome != StopOutcome::Unknown)
      co_return;
    co_await pauseFor(StopRetryPause);
  }
}

Async<void> UpstreamLink::lookNow() {
  // A run that was stopped before it began has no end to list, so the pending
  // long poll would report it only when its wait time is over.
  if (!this->active() || !this->Lease.clockKnown() ||
      !this->Context->Ownership.mayOrder(this->Context->Clock.now()))
    co_return;
  const Instant SentAt = this->Context->Clock.now();
  HoldQuestion Question{.Token = this->Context->Ownership.token(),
                        .Acknowledged =
                            this->Context->Plan.acknowledged(this->Report.Id)};
  const HoldAnswer Answer = co_await this->Client->hold(Question, FirstLimit);
  if (this->active() && Answer.Outcome == HoldOutcome::Answered)
    this->take(Answer, SentAt);
}

Async<void> UpstreamLink::paceOne(PaceOrder Order) {
  if (!this->active() ||
      !this->Context->Ownership.mayOrder(this->Context->Clock.now()))
    co_return;
  const bool Taken = co_await this->Client->pace(
      Order, this->Context->Ownership.token(), PaceLimit);
  if (!Taken)
    logEvent(LogLevel::Debug, "run.pace_failed",
             {{"upstream", this->Report.Id.str()}});
}

} // namespace sardinerill::site
