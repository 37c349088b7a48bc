#include "desk.h"

#include "unixtime.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Part of a caller's timeout reserved for sending the reply.
constexpr milliseconds AnswerReserve{250};
/// Timeout of a request to the holder.
constexpr milliseconds HolderLimit{400};
/// Retry delay sent to callers while the system starts or stops.
constexpr milliseconds ComeBackAfter{1000};

/// \returns the part of a path after its last slash, which is the job's id.
std::string lastSegment(const std::string &Path) {
  return Path.substr(Path.rfind('/') + 1);
}

JobState shownState(const StoredJob &Job) {
  if (Job.Progress) {
    const JobState State = Job.Progress->State;
    const bool Ended = State == JobState::Completed ||
                       State == JobState::Failed ||
                       State == JobState::Cancelled;
    if (Ended)
      return State;
  }
  if (Job.Cancelled)
    return JobState::Cancelled;
  return Job.Progress ? JobState::Running : JobState::Queued;
}

} // namespace

Result<Desk::Admitted> Desk::admit(const CallerCall &Call) const {
  const SiteConfiguration *Configuration = this->Parts.Configuration();
  if (!Configuration)
    return makeError(ErrorKind::PlatformUnavailable,
                     "no configuration has been read yet", ComeBackAfter);
  const QueueSettings *Queue = Configuration->match(Call.Host, Call.Path);
  if (!Queue)
    return makeError(ErrorKind::QueueUnknown,
                     "no queue serves " + Call.Host + Call.Path);
  Admitted Of{.Queue = *Queue, .Job = JobId(lastSegment(Call.Path))};
  if (!Queue->Public) {
    if (Call.Key.empty())
      return makeError(ErrorKind::KeyMissing, "the call carries no key");
    const OrganisationSettings *Owner = Configuration->holderOf(Call.Key);
    if (!Owner)
      return makeError(ErrorKind::KeyUnknown, "no organisation holds the key");
    Of.Organisation = Owner->Id;
  }
  const Duration Limit = Call.Limit.value_or(Queue->CallTimeout);
  Of.Until = this->Parts.Clock.now() + std::min(Limit, Queue->CallTimeout) -
             AnswerReserve;
  return Of;
}

Async<Result<CallerReply>> Desk::handle(CallerCall Call) {
  Result<Admitted> Of = this->admit(Call);
  Result<CallerReply> Reply = makeError(ErrorKind::BadRequest, "no such call");
  if (!Of)
    Reply = tl::unexpected(Of.error());
  else if (Call.Kind == CallKind::Submit)
    Reply = co_await this->submit(std::move(*Of), std::move(Call.Body));
  else if (Call.Kind == CallKind::State)
    Reply = co_await this->stateOf(std::move(*Of));
  else if (Call.Kind == CallKind::Cancel)
    Reply = co_await this->cancel(std::move(*Of));
  else if (Call.Kind == CallKind::Pending)
    Reply = co_await this->pending(std::move(*Of));
  if (!Reply) {
    this->Parts.Figures.countRefusal(Reply.error().Kind);
    const SiteConfiguration *InForce = this->Parts.Configuration();
    logEvent(LogLevel::Info, "call.refused",
             {{"job", lastSegment(Call.Path)},
              {"reason", std::string(answerFor(Reply.error().Kind).Name)},
              {"configuration", std::to_string(InForce ? InForce->Version : 0)},
              {"detail", Reply.error().Detail}});
  }
  co_return Reply;
}

Async<Result<CallerReply>> Desk::submit(Admitted Of, std::string Body) {
  Result<JobSpec> Spec = this->Parts.DecodeJob(Body);
  if (!Spec)
    co_return tl::unexpected(Spec.error());
  const Instant Began = this->Parts.Clock.now();
  Spec->Id = Of.Job;
  Spec->Queue = Of.Queue;
  Spec->Organisation = Of.Organisation;
  Spec->AcceptedAtMs = unixMillis();
  const Result<std::int64_t> Stored =
      co_await this->Parts.Jobs.accept(*Spec, Of.Until);
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  if (*Stored != 0) {
    JobChange Change{.Job = Of.Job, .Version = *Stored};
    Change.Spec = std::move(*Spec);
    this->tellHolder(std::move(Change));
  }
  const Duration Took = this->Parts.Clock.now() - Began;
  this->Parts.Figures.observe("acceptance", Of.Queue.Id.str(), Took);
  logEvent(LogLevel::Info, "job.accepted",
           {{"job", Of.Job.str()},
            {"queue", Of.Queue.Id.str()},
            {"took_us", std::to_string(Took.count())}});
  co_return CallerReply();
}

HolderClient *Desk::holder() {
  const Endpoint Where = this->Parts.HolderDoor();
  if (!Where.valid())
    return nullptr;
  if (!this->Holder || this->Holder->where() != Where)
    this->Holder = std::make_shared<HolderClient>(this->Parts.Executor, Where);
  return this->Holder.get();
}

void Desk::tellHolder(JobChange Change) {
  if (this->Parts.TellOwn(Change) || !this->holder())
    return;
  spawn(this->Parts.Executor, "holder-notice",
        [Asked = this->Holder, Text = encodeChange(Change)] {
          return Asked->tell(Text, HolderLimit);
        });
}

Async<Result<CallerReply>> Desk::stateOf(Admitted Of) {
  if (const auto Own = this->Parts.OwnState(Of.Job))
    co_return CallerReply(*Own);
  if (HolderClient *Asked = this->holder()) {
    const auto State = co_await Asked->stateOf(Of.Job, HolderLimit);
    if (State)
      co_return CallerReply(*State);
  }
  const auto Stored = co_await this->Parts.Jobs.find(Of.Job, Of.Until);
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  co_return CallerReply(shownState(*Stored));
}

Async<Result<CallerReply>> Desk::cancel(Admitted Of) {
  auto Stored = co_await this->Parts.Jobs.find(Of.Job, Of.Until);
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  const bool Foreign =
      !Of.Queue.Public && Stored->Spec.Organisation != Of.Organisation;
  if (Foreign)
    co_return makeError(ErrorKind::NotPermitted,
                        "the job belongs to another organisation");
  const Result<void> Done =
      co_await this->Parts.Jobs.cancel(std::move(*Stored), Of.Until);
  if (!Done)
    co_return tl::unexpected(Done.error());
  this->tellHolder({.Job = Of.Job, .Cancelled = true});
  logEvent(LogLevel::Info, "job.cancel_stored", {{"job", Of.Job.str()}});
  co_return CallerReply();
}

Async<Result<CallerReply>> Desk::pending(Admitted Of) {
  if (const auto Own = this->Parts.OwnPending(Of.Queue.Id))
    co_return CallerReply(*Own);
  if (HolderClient *Asked = this->holder()) {
    const auto Count = co_await Asked->pendingJobs(Of.Queue.Id, HolderLimit);
    if (Count)
      co_return CallerReply(*Count);
  }
  co_return makeError(ErrorKind::PlatformUnavailable,
                      "no daemon can count the jobs now", ComeBackAfter);
}

} // namespace sardinerill::site
