#include "callerhandler.h"

#include "unixtime.h"

#include "sardinerill/base/logging.h"
#include "sardinerill/scheduling/admissionrequest.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Part of a caller's timeout reserved for sending the reply.
constexpr milliseconds ReplyReserve{250};
/// Timeout of a request to the holder.
constexpr milliseconds HolderTimeout{400};
/// Nothing is refused on an older summary: within this time a peak begins or
/// ends.
constexpr seconds MaxLoadAge{2};
/// Limit of the check whether a job may be stored that a daemon refuses because
/// its configuration is old: the caller should try another daemon soon.
constexpr milliseconds AbsenceCheckTimeout{400};
/// Retry delay sent to callers while the system starts or stops.
constexpr milliseconds RetryAfter{1000};

/// \returns the part of a path after its last slash: the job's id in calls that
/// concern a single job.
std::string lastSegment(const std::string &Path) {
  return Path.substr(Path.rfind('/') + 1);
}

JobState storedState(const StoredJob &Job) {
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

/// \returns whether \p Kind states that the configuration does not allow a
/// call.
bool dependsOnConfiguration(ErrorKind Kind) {
  const int Status = errorResponseFor(Kind).HttpStatus;
  return Status == 401 || Status == 403 || Status == 404;
}

/// Notifies the holder of \p Change and takes in the load that it answers with.
Async<void> notifyAndUpdate(std::shared_ptr<HolderClient> Client,
                            std::shared_ptr<HolderLoad> Load,
                            const IClock &Clock, Metrics &Stats,
                            std::string Change) {
  const Instant SentAt = Clock.now();
  const std::string Answer =
      co_await Client->notifyChange(std::move(Change), HolderTimeout);
  if (!Load->update(Answer, SentAt)) {
    Stats.count("load_summaries_rejected_total");
    logEvent(LogLevel::Warning, "load_summary.rejected",
             {{"holder", Client->endpoint().str()}});
  }
}

} // namespace

bool HolderLoad::update(const std::string &Text, Instant SentAt) {
  if (Text.empty())
    return true;
  auto Decoded = overload::decodeSummary(Text);
  if (!Decoded || Decoded->Age < Duration{}) {
    this->Summary.reset();
    return false;
  }
  // The age is that at the time of the answer, so this is not too late.
  const Instant Computed = SentAt - Decoded->Age;
  if (this->Summary && Computed < this->ComputedAt)
    return true; // Overtaken by the answer to a later notice.
  this->Summary = std::make_shared<const overload::LoadSummary>(
      std::move(Decoded->Summary));
  this->ComputedAt = Computed;
  return true;
}

std::shared_ptr<const overload::LoadSummary> HolderLoad::at(Instant Now) const {
  return Now - this->ComputedAt < MaxLoadAge ? this->Summary : nullptr;
}

Result<CallerHandler::AdmittedCall>
CallerHandler::admit(const CallerCall &Call) const {
  const SiteConfiguration *Configuration = this->Deps.Configuration();
  if (!Configuration)
    return makeError(ErrorKind::PlatformUnavailable,
                     "no configuration has been read yet", RetryAfter);
  const QueueSettings *Queue = Configuration->match(Call.Host, Call.Path);
  if (!Queue)
    return makeError(ErrorKind::QueueUnknown,
                     "no queue serves " + Call.Host + Call.Path);
  AdmittedCall Admitted{.Queue = *Queue, .Job = JobId(lastSegment(Call.Path))};
  if (!Queue->Public) {
    if (Call.ApiKey.empty())
      return makeError(ErrorKind::KeyMissing, "the call has no API key");
    const OrganisationSettings *Organisation =
        Configuration->organisationOfKey(Call.ApiKey);
    if (!Organisation)
      return makeError(ErrorKind::KeyUnknown,
                       "no organisation has this API key");
    Admitted.Organisation = Organisation->Id;
  }
  const Duration Timeout = Call.Timeout.value_or(Queue->CallTimeout);
  const Instant TimeLimit =
      this->Deps.Clock.now() + std::min(Timeout, Queue->CallTimeout);
  Admitted.Deadline =
      std::min(TimeLimit, this->Deps.LatestReply()) - ReplyReserve;
  return Admitted;
}

Async<Error> CallerHandler::errorWhileBehind(const CallerCall &Call,
                                             Error ByOlder,
                                             std::int64_t Newer) {
  std::string Detail =
      "version " + std::to_string(Newer) +
      " is in force elsewhere; by the older one: " + ByOlder.Detail;
  // A submission that is refused must not be one that was accepted before.
  if (Call.Kind == CallKind::Submit) {
    const Duration Limit = std::min<Duration>(
        Call.Timeout.value_or(AbsenceCheckTimeout), AbsenceCheckTimeout);
    const bool IsAbsent = co_await this->Deps.Jobs.isCertainlyAbsent(
        JobId(lastSegment(Call.Path)), this->Deps.Clock.now() + Limit);
    if (!IsAbsent)
      co_return Error{ErrorKind::PlatformOutcomeUnknown, std::move(Detail)};
  }
  co_return Error{ErrorKind::ConfigurationBehind, std::move(Detail),
                  RetryAfter};
}

Async<Result<CallerReply>> CallerHandler::handle(CallerCall Call) {
  // Asked first as well, since the newer version may arrive during the call.
  std::optional<std::int64_t> Newer = this->Deps.NewerVersion();
  Result<AdmittedCall> Admitted = this->admit(Call);
  Result<CallerReply> Reply =
      makeError(ErrorKind::BadRequest,
                "unsupported call: expected POST, GET or DELETE with a job id "
                "of 16 hexadecimal digits, or GET of the queue");
  if (!Admitted)
    Reply = tl::unexpected(Admitted.error());
  else if (Newer && this->Deps.IsOutdated())
    Reply = tl::unexpected(co_await this->errorWhileBehind(
        Call,
        {ErrorKind::ConfigurationBehind, "what it allows may be withdrawn"},
        *Newer));
  else if (Call.Kind == CallKind::Submit)
    Reply = co_await this->submit(std::move(*Admitted), std::move(Call.Body));
  else if (Call.Kind == CallKind::State)
    Reply = co_await this->stateOf(std::move(*Admitted));
  else if (Call.Kind == CallKind::Cancel)
    Reply = co_await this->cancel(std::move(*Admitted));
  else if (Call.Kind == CallKind::Pending)
    Reply = co_await this->pending(std::move(*Admitted));
  if (!Newer)
    Newer = this->Deps.NewerVersion();
  if (!Reply && Newer && dependsOnConfiguration(Reply.error().Kind))
    Reply = tl::unexpected(
        co_await this->errorWhileBehind(Call, Reply.error(), *Newer));
  if (!Reply) {
    this->Deps.Stats.countRefusal(Reply.error().Kind);
    const SiteConfiguration *InForce = this->Deps.Configuration();
    logEvent(
        LogLevel::Info, "call.refused",
        {{"job", lastSegment(Call.Path)},
         {"reason", std::string(errorResponseFor(Reply.error().Kind).Name)},
         {"configuration", std::to_string(InForce ? InForce->Version : 0)},
         {"detail", Reply.error().Detail}});
  }
  co_return Reply;
}

Async<Result<CallerReply>> CallerHandler::submit(AdmittedCall Admitted,
                                                 std::string Body) {
  Result<JobSpec> Spec = this->Deps.DecodeJob(Body);
  if (!Spec)
    co_return tl::unexpected(Spec.error());
  const Instant StartedAt = this->Deps.Clock.now();
  Spec->Id = Admitted.Job;
  Spec->Queue = Admitted.Queue;
  Spec->Organisation = Admitted.Organisation;
  Spec->AcceptedAtMs = unixMillis();
  if (auto Refused = this->refusalOf(*Spec);
      Refused && co_await this->Deps.Jobs.isCertainlyAbsent(
                     Admitted.Job, Admitted.Deadline)) {
    this->Deps.Stats.count("admission_refused_total");
    co_return tl::unexpected(std::move(*Refused));
  }
  const Result<std::int64_t> Stored =
      co_await this->Deps.Jobs.accept(*Spec, Admitted.Deadline);
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  if (*Stored != 0) {
    JobChange Change{.Job = Admitted.Job, .Version = *Stored};
    Change.Spec = std::move(*Spec);
    this->notifyHolder(std::move(Change));
  }
  const Duration Elapsed = this->Deps.Clock.now() - StartedAt;
  this->Deps.Stats.observe("acceptance", Admitted.Queue.Id.str(), Elapsed);
  logEvent(LogLevel::Info, "job.accepted",
           {{"job", Admitted.Job.str()},
            {"queue", Admitted.Queue.Id.str()},
            {"took_us", std::to_string(Elapsed.count())}});
  co_return CallerReply();
}

std::shared_ptr<const overload::LoadSummary> CallerHandler::knownLoad() {
  if (!this->Deps.RefuseUnservable)
    return nullptr;
  if (auto Local = this->Deps.LocalLoad())
    return Local;
  return this->holderClient() ? this->RemoteLoad->at(this->Deps.Clock.now())
                              : nullptr;
}

std::optional<Error> CallerHandler::refusalOf(const JobSpec &Spec) {
  const auto Load = this->knownLoad();
  const auto Request = Load ? admissionRequestOf(Spec) : std::nullopt;
  const auto Refused =
      Request ? overload::refusalOf(*Request, *Load) : std::nullopt;
  if (!Refused)
    return std::nullopt;
  const auto WaitMs =
      std::chrono::duration_cast<milliseconds>(Refused->PredictedWait).count();
  return Error{ErrorKind::QueueFull,
               "the job would wait for about " + std::to_string(WaitMs) +
                   " ms, after which it can't end in time",
               Refused->RetryAfter};
}

std::shared_ptr<HolderClient> CallerHandler::holderClient() {
  const Endpoint HolderAddress = this->Deps.HolderEndpoint();
  if (!HolderAddress.isValid())
    return nullptr;
  if (!this->HolderConnection ||
      this->HolderConnection->endpoint() != HolderAddress) {
    this->HolderConnection = std::make_shared<HolderClient>(
        this->Deps.Executor, HolderAddress, this->Deps.OnHolderAnswer);
    this->RemoteLoad = std::make_shared<HolderLoad>();
  }
  return this->HolderConnection;
}

void CallerHandler::notifyHolder(JobChange Change) {
  if (this->Deps.NotifyLocalHolder(Change) || !this->holderClient())
    return;
  spawn(this->Deps.Executor, "holder-notice",
        [Client = this->HolderConnection, Load = this->RemoteLoad,
         &Clock = this->Deps.Clock, &Stats = this->Deps.Stats,
         Text = encodeChange(Change)] {
          return notifyAndUpdate(Client, Load, Clock, Stats, Text);
        });
}

Async<Result<CallerReply>> CallerHandler::stateOf(AdmittedCall Admitted) {
  if (const auto Local = this->Deps.LocalState(Admitted.Job))
    co_return CallerReply(*Local);
  if (const auto Client = this->holderClient()) {
    const auto State = co_await Client->stateOf(Admitted.Job, HolderTimeout);
    if (State)
      co_return CallerReply(*State);
  }
  const auto Stored =
      co_await this->Deps.Jobs.find(Admitted.Job, Admitted.Deadline);
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  co_return CallerReply(storedState(*Stored));
}

Async<Result<CallerReply>> CallerHandler::cancel(AdmittedCall Admitted) {
  auto Stored = co_await this->Deps.Jobs.find(Admitted.Job, Admitted.Deadline);
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  const bool OtherOrganisation =
      !Admitted.Queue.Public &&
      Stored->Spec.Organisation != Admitted.Organisation;
  if (OtherOrganisation)
    co_return makeError(ErrorKind::NotPermitted,
                        "the job belongs to another organisation");
  const Result<void> Done =
      co_await this->Deps.Jobs.cancel(std::move(*Stored), Admitted.Deadline);
  if (!Done)
    co_return tl::unexpected(Done.error());
  this->notifyHolder({.Job = Admitted.Job, .Cancelled = true});
  logEvent(LogLevel::Info, "job.cancel_stored", {{"job", Admitted.Job.str()}});
  co_return CallerReply();
}

Async<Result<CallerReply>> CallerHandler::pending(AdmittedCall Admitted) {
  if (const auto Local = this->Deps.LocalPendingJobs(Admitted.Queue.Id))
    co_return CallerReply(*Local);
  if (const auto Client = this->holderClient()) {
    const auto Count =
        co_await Client->pendingJobs(Admitted.Queue.Id, HolderTimeout);
    if (Count)
      co_return CallerReply(*Count);
  }
  co_return makeError(ErrorKind::PlatformUnavailable,
                      "no holder is available to count pending jobs",
                      RetryAfter);
}

} // namespace sardinerill::site
