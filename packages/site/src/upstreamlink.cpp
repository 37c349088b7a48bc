#include "upstreamlink.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Long-poll time for the end of a run. The protocol allows at most 2 s; this
/// is short enough to detect a dead connection well within a lease.
constexpr milliseconds PollWait{1000};
/// Used during an evacuation while a task with an availability budget starts on
/// the upstream, since other tasks can be moved only when it is ready.
constexpr milliseconds ShortPollWait{120};
/// Added to the long-poll time for the answer itself.
constexpr milliseconds AnswerMargin{600};
/// Timeout of a poll that the upstream answers at once, such as the first one.
constexpr milliseconds ImmediatePollTimeout{500};
/// Time within which a start that needs a new connection is sent or given up.
/// Less than the time for which the scheduler expects a start to be delayed.
constexpr milliseconds NewConnectionTimeout{200};
/// Timeouts of commands; an upstream answers within a few milliseconds.
constexpr milliseconds StartTimeout{500};
constexpr milliseconds StopTimeout{400};
constexpr milliseconds PaceTimeout{600};
/// Pause before the next poll when the upstream does not answer or no commands
/// may be sent.
constexpr milliseconds RetryPause{250};
constexpr milliseconds StopRetryPause{150};
/// Longest wait until ended runs are stored, and the interval between checks.
constexpr milliseconds MaxStoreWait{250};
constexpr milliseconds StorePollInterval{8};
/// A poll that fails this long before its timeout was not timed out.
constexpr milliseconds TimeoutTolerance{50};
/// After this many unanswered polls the lease is no longer extended, so that it
/// certainly expires.
constexpr int MaxUnansweredPolls = 2;

} // namespace

UpstreamLink::UpstreamLink(std::shared_ptr<LinkContext> Context,
                           UpstreamReport Report,
                           std::unique_ptr<IUpstreamClient> Client)
    : Context(std::move(Context)), Report(std::move(Report)),
      Client(std::move(Client)),
      Lease(this->Context->Bounds, this->Context->InheritedLeasesExpireAt,
            this->Context->Clock.now()) {}

void UpstreamLink::run() {
  spawn(this->Context->Executor, "upstream-hold",
        [Self = this->shared_from_this()] { return Self->pollLoop(); });
}

bool UpstreamLink::isActive() const {
  return !this->Closed && !this->Context->Stopped;
}

bool UpstreamLink::haveLeasesExpired(Instant Now) {
  if (this->Context->JobScheduler.awaitsNextProcess(this->Report.Id)) {
    if (!this->NextProcessLeasesUntil)
      this->NextProcessLeasesUntil =
          Now +
          UpstreamLease::maxTimeToExpiryAfterRestart(this->Context->Bounds);
    if (Now < *this->NextProcessLeasesUntil)
      return false;
  }
  return this->Lease.hasExpired(Now);
}

void UpstreamLink::markLost(std::string_view Reason) {
  this->Closed = true;
  this->Context->JobScheduler.removeUpstream(this->Report.Id, Reason,
                                             this->Context->Clock.now());
  this->Context->SchedulingEvent.notify();
}

void UpstreamLink::markEnded(std::string_view Reason) {
  this->Closed = true;
  this->Context->JobScheduler.removeEndedUpstream(this->Report.Id, Reason,
                                                  this->Context->Clock.now());
  this->Context->SchedulingEvent.notify();
}

void UpstreamLink::followRestart(std::int64_t IncarnationStartMs) {
  this->adoptIncarnation(IncarnationStartMs);
  this->pollNow();
}

void UpstreamLink::pollNow() {
  // The poll under way was sent to the process that has ended.
  spawn(this->Context->Executor, "upstream-poll",
        [Self = this->shared_from_this()]() -> Async<void> {
          co_await Self->pollOnce(ImmediatePollTimeout);
        });
}

void UpstreamLink::expectRestart(std::int64_t ClockMs) {
  logEvent(LogLevel::Warning, "upstream.clock_behind",
           {{"upstream", this->Report.Id.str()},
            {"clock_ms", std::to_string(ClockMs)}});
  this->resetLease(this->Context->Clock.now());
  this->pollNow();
}

void UpstreamLink::resetLease(Instant Now) {
  this->KnownConnection = 0;
  this->Lease =
      UpstreamLease(this->Context->Bounds,
                    std::max(this->Context->InheritedLeasesExpireAt,
                             Now + UpstreamLease::maxTimeToExpiryAfterRestart(
                                       this->Context->Bounds)),
                    Now);
}

void UpstreamLink::adoptIncarnation(std::int64_t IncarnationStartMs) {
  const Instant Now = this->Context->Clock.now();
  this->Report.IncarnationStartMs = IncarnationStartMs;
  this->RestartedAt = Now;
  ++this->Restarts;
  this->UnansweredPolls = 0;
  this->NextProcessLeasesUntil.reset();
  // Listings that were requested before may not contain what the new process
  // has accepted since.
  this->NewestListingSentAt = Now;
  this->resetLease(Now);
}

void UpstreamLink::applyAnswer(const PollResponse &Answer, Instant SentAt,
                               Duration Timeout) {
  const Instant Now = this->Context->Clock.now();
  switch (Answer.Outcome) {
  case PollOutcome::Answered: {
    const std::int64_t IncarnationStartMs = Answer.Listing.IncarnationStartMs;
    if (IncarnationStartMs && this->Report.IncarnationStartMs &&
        IncarnationStartMs != this->Report.IncarnationStartMs) {
      if (SentAt < this->RestartedAt)
        return; // From the process that has ended.
      this->Context->JobScheduler.restartUpstream(this->Report.Id,
                                                  IncarnationStartMs, Now);
      this->adoptIncarnation(IncarnationStartMs);
    }
    this->Report.IncarnationStartMs = IncarnationStartMs
                                          ? IncarnationStartMs
                                          : this->Report.IncarnationStartMs;
    this->UnansweredPolls = 0;
    this->Lease.recordClock(Answer.Listing.ClockMs, Now);
    this->KnownConnection = std::max(this->KnownConnection, Answer.Connection);
    // An answer to an older poll may list runs as active that have ended since.
    // The runs it lists as ended must still be applied, as the upstream may be
    // gone before it can list them again.
    if (SentAt < this->NewestListingSentAt) {
      this->Context->JobScheduler.applyEndedRuns(this->Report.Id,
                                                 Answer.Listing.Ended, Now);
      this->Context->SchedulingEvent.notify();
      return;
    }
    this->NewestListingSentAt = SentAt;
    this->Context->JobScheduler.applyListing(this->Report.Id, Answer.Listing,
                                             SentAt, Now);
    this->Context->SchedulingEvent.notify();
    return;
  }
  case PollOutcome::Superseded:
    logEvent(LogLevel::Warning, "ownership.superseded",
             {{"upstream", this->Report.Id.str()},
              {"token", std::to_string(this->Context->Ownership.token())}});
    this->Context->Ownership.markSuperseded();
    return;
  case PollOutcome::WrongIncarnation:
    this->markEnded("another incarnation answers at its address");
    return;
  // A network partition can cause a refusal as well, so runs may still be
  // active.
  case PollOutcome::Refused:
  case PollOutcome::NoAnswer:
  case PollOutcome::NoConnection:
    if (SentAt < this->RestartedAt)
      return; // Says nothing about the new process.
    ++this->UnansweredPolls;
    // Before the timeout, an open connection broke.
    this->Context->JobScheduler.recordFailedPoll(
        this->Report.Id,
        Answer.Outcome == PollOutcome::NoAnswer &&
            Now - SentAt < Timeout - TimeoutTolerance,
        Now);
    if (this->UnansweredPolls == MaxUnansweredPolls)
      logEvent(LogLevel::Warning, "upstream.silent",
               {{"upstream", this->Report.Id.str()},
                {"pool", this->Report.Pool.str()}});
    if (this->UnansweredPolls >= MaxUnansweredPolls &&
        this->haveLeasesExpired(Now))
      this->markLost("no answer until its lease expired");
    return;
  }
}

Async<void> UpstreamLink::pollLoop() {
  while (this->isActive()) {
    Instant SentAt = this->Context->Clock.now();
    if (!this->Context->Ownership.maySendCommands(SentAt)) {
      co_await sleepFor(RetryPause);
      continue;
    }
    PollRequest Request{.Token = this->Context->Ownership.token()};
    // After a failed poll, another process with the same id may answer, whose
    // ends are numbered from 1 again and would be forgotten before it has
    // listed them.
    if (this->UnansweredPolls == 0)
      Request.AckedSequence =
          this->Context->JobScheduler.acknowledgedSequence(this->Report.Id);
    const bool Connected =
        this->Lease.clockKnown() && this->UnansweredPolls == 0;
    if (this->Lease.clockKnown() && this->UnansweredPolls < MaxUnansweredPolls)
      Request.LeaseUntilMs = this->Lease.extend(SentAt);
    if (Connected)
      Request.Wait =
          this->Context->JobScheduler.needsEarlyPoll(this->Report.Id, SentAt)
              ? ShortPollWait
              : PollWait;
    if (Request.LeaseUntilMs || Request.AckedSequence > 0)
      Request.NewestConnection = this->KnownConnection;
    Duration Timeout =
        Connected ? PollWait + AnswerMargin : ImmediatePollTimeout;
    PollResponse Answer = co_await this->Client->poll(Request, Timeout);
    if (Answer.Outcome == PollOutcome::NoConnection && this->isActive()) {
      SentAt = this->Context->Clock.now();
      Timeout = ImmediatePollTimeout;
      Answer = co_await this->Client->poll(
          {.Token = this->Context->Ownership.token()}, Timeout);
    }
    if (!this->isActive())
      co_return;
    this->applyAnswer(Answer, SentAt, Timeout);
    if (!this->isActive())
      co_return;
    if (this->UnansweredPolls > 0)
      co_await sleepFor(RetryPause);
    else if (!Answer.Listing.Ended.empty())
      co_await this->waitUntilStored(Answer.Listing.Ended.back().Sequence);
  }
}

Async<void> UpstreamLink::waitUntilStored(std::int64_t Sequence) {
  // An upstream answers at once while it has unacknowledged ended runs, so
  // polling before they are stored would be a busy loop.
  const Instant Deadline = this->Context->Clock.now() + MaxStoreWait;
  while (this->isActive() && this->Context->Clock.now() < Deadline &&
         this->Context->JobScheduler.acknowledgedSequence(this->Report.Id) <
             Sequence)
    co_await sleepFor(StorePollInterval);
}

void UpstreamLink::send(StartCommand Start) {
  spawn(this->Context->Executor, "upstream-start",
        [Self = this->shared_from_this(), Start = std::move(Start)] {
          return Self->sendStart(Start);
        });
}

void UpstreamLink::send(StopCommand Stop) {
  spawn(this->Context->Executor, "upstream-stop",
        [Self = this->shared_from_this(), Stop = std::move(Stop)] {
          return Self->sendStop(Stop);
        });
}

void UpstreamLink::send(PaceCommand Pace) {
  spawn(this->Context->Executor, "upstream-pace",
        [Self = this->shared_from_this(), Pace = std::move(Pace)] {
          return Self->sendPace(Pace);
        });
}

Async<void> UpstreamLink::sendStart(StartCommand Start) {
  const Instant Now = this->Context->Clock.now();
  const RunId Run = Start.Run;
  const Duration ConfirmAfter = Start.ConfirmAfter;
  const StartReply Reply = co_await this->requestStart(std::move(Start));
  if (this->Context->Stopped)
    co_return;
  if (Reply.ClockMs && this->Lease.isOtherClock(*Reply.ClockMs, Now))
    this->expectRestart(*Reply.ClockMs);
  const StartOutcome Outcome = Reply.Outcome;
  if (Outcome == StartOutcome::Superseded)
    this->Context->Ownership.markSuperseded();
  this->Context->JobScheduler.handleStartOutcome(this->Report.Id, Run, Outcome,
                                                 this->Context->Clock.now());
  if (Outcome != StartOutcome::Accepted)
    this->Context->SchedulingEvent.notify();
  if (Outcome == StartOutcome::Accepted && ConfirmAfter > Duration::zero()) {
    co_await sleepFor(ConfirmAfter);
    co_await this->fetchListing();
  }
}

bool UpstreamLink::maySendStart(const RunId &Run) const {
  return this->isActive() && this->Lease.clockKnown() &&
         this->Context->Ownership.maySendCommands(this->Context->Clock.now()) &&
         !this->Context->JobScheduler.wantsStop(this->Report.Id, Run);
}

Async<StartReply> UpstreamLink::requestStart(StartCommand Start) {
  const IClock &Clock = this->Context->Clock;
  const Instant GiveUpAt = Clock.now() + NewConnectionTimeout;
  const RunId Run = Start.Run;
  // Another start may take the new connection.
  for (Instant Now = Clock.now(); Now < GiveUpAt && this->maySendStart(Run);
       Now = Clock.now()) {
    const StartReply Reply = co_await this->Client->start(
        {.Command = Start,
         .Token = this->Context->Ownership.token(),
         .LeaseUntilMs = this->Lease.extend(Now),
         .NewestConnection = this->KnownConnection},
        StartTimeout);
    if (!Reply.NoConnection)
      co_return Reply;
    if (!co_await this->pollOnce(GiveUpAt - Now))
      break;
  }
  co_return StartReply{.Outcome = StartOutcome::Refused};
}

Async<void> UpstreamLink::sendStop(StopCommand Stop) {
  // What the old process acknowledges does not bind the new one: the scheduler
  // issues stops again for the runs that are left.
  const int RestartsBefore = this->Restarts;
  while (this->isActive() && this->Restarts == RestartsBefore) {
    // The ownership may be renewed again, for example after an outage of the
    // table. Without this command the run would count for ever.
    if (!this->Context->Ownership.maySendCommands(this->Context->Clock.now())) {
      co_await sleepFor(RetryPause);
      continue;
    }
    if (!this->Context->JobScheduler.wantsStop(this->Report.Id, Stop.Run))
      co_return;
    const StopOutcome Outcome = co_await this->Client->stop(
        Stop, this->Context->Ownership.token(), StopTimeout);
    if (!this->isActive() || this->Restarts != RestartsBefore)
      co_return;
    this->Context->JobScheduler.handleStopOutcome(
        this->Report.Id, Stop.Run, Outcome, this->Context->Clock.now());
    if (Outcome == StopOutcome::Acknowledged)
      co_await this->fetchListing();
    if (Outcome != StopOutcome::Unknown)
      co_return;
    co_await sleepFor(StopRetryPause);
    // The start that this stop is to bar may have been carried out late.
    while (!co_await this->fetchListing() && this->isActive() &&
           this->Context->JobScheduler.stopOnlyBars(this->Report.Id, Stop.Run))
      co_await sleepFor(StopRetryPause);
  }
}

Async<bool> UpstreamLink::fetchListing() {
  // A run that was stopped before it began is not listed as ended, so the
  // pending long poll would report it only when its wait time is over.
  if (!this->Lease.clockKnown())
    co_return false;
  co_return co_await this->pollOnce(ImmediatePollTimeout);
}

Async<bool> UpstreamLink::pollOnce(Duration Timeout) {
  if (!this->isActive() ||
      !this->Context->Ownership.maySendCommands(this->Context->Clock.now()))
    co_return false;
  const Instant SentAt = this->Context->Clock.now();
  // Acknowledges nothing: another process may answer than the one to which the
  // long poll under way was sent.
  const PollRequest Request{.Token = this->Context->Ownership.token()};
  const PollResponse Answer = co_await this->Client->poll(Request, Timeout);
  const bool Answered =
      this->isActive() && Answer.Outcome == PollOutcome::Answered;
  if (Answered)
    this->applyAnswer(Answer, SentAt, Timeout);
  co_return Answered;
}

Async<void> UpstreamLink::sendPace(PaceCommand Pace) {
  if (!this->isActive() ||
      !this->Context->Ownership.maySendCommands(this->Context->Clock.now()))
    co_return;
  const bool Accepted = co_await this->Client->setPace(
      Pace, this->Context->Ownership.token(), PaceTimeout);
  if (!Accepted)
    logEvent(LogLevel::Debug, "run.pace_failed",
             {{"upstream", this->Report.Id.str()}});
}

} // namespace sardinerill::site
