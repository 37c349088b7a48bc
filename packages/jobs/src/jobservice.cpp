#include "sardinerill/jobs/jobservice.h"

#include "sardinerill/base/logging.h"
#include "sardinerill/base/text.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <utility>

namespace sardinerill {

using nlohmann::json;

namespace {

/// Maximum number of jobs that one daemon runs at the same time.
constexpr std::size_t MaxInFlight = 16;
/// 96 bits, so that ids don't collide in practice.
constexpr std::size_t JobIdBytes = 12;
constexpr milliseconds PlatformRetryAfter{1000};
constexpr unsigned HttpAccepted = 202;

/// Derives the job id from the team and the key, so that a resubmission to any
/// daemon finds the same job.
JobId jobIdFor(const TeamId &Team, const std::string &IdempotencyKey) {
  const std::string Name = Team.str() + "/" + IdempotencyKey;
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  EVP_Digest(Name.data(), Name.size(), Digest.data(), nullptr, EVP_sha256(),
             nullptr);
  return JobId(toHex(std::string(Digest.begin(), Digest.begin() + JobIdBytes)));
}

JobResponse describe(unsigned Status, const JobRecord &Job) {
  json Body{{"jobId", Job.Id.str()},
            {"class", Job.Class.str()},
            {"state", toString(Job.State)},
            {"deadlineMs", Job.DeadlineMs},
            {"attempts", Job.Attempts}};
  if (!Job.Detail.empty())
    Body["detail"] = Job.Detail;
  return JobResponse{Status, "application/json", Body.dump()};
}

} // namespace

void JobService::call(JobRequest Request, Callback OnDone) {
  using Operation = JobRequest::Operation;
  switch (Request.Type) {
  case Operation::Submit:
    this->submit(Request, std::move(OnDone));
    return;
  case Operation::Status:
    this->status(Request, std::move(OnDone));
    return;
  case Operation::Fetch:
    this->fetch(Request, std::move(OnDone));
    return;
  case Operation::Cancel:
    this->cancelJob(Request, std::move(OnDone));
    return;
  }
}

void JobService::submit(const JobRequest &Request, Callback OnDone) {
  // No Idempotency-Key is required: the stored state ensures that a job of a
  // non-idempotent class runs at most once. Without a key, submitting the
  // request again creates another job.
  Result<AdmittedRequest> Admitted = this->Deps.Environment.admit(
      AdmissionRequest{Request.Class, Request.Key, true});
  if (!Admitted) {
    OnDone(tl::unexpected(Admitted.error()));
    return;
  }
  if (Admitted->Class.Deadline == milliseconds(0)) {
    OnDone(makeError(
        ErrorKind::BadRequest,
        "the class has no deadline: submit the request to /v1/work/"));
    return;
  }
  if (!this->Deps.Limiter.tryAcquire(CallPriority::Urgent,
                                     this->Deps.Clock.now())) {
    OnDone(
        makeError(ErrorKind::PlatformUnavailable,
                  "the job cannot be stored: platform calls are suspended by "
                  "the rate limit or the circuit breaker",
                  PlatformRetryAfter));
    return;
  }
  JobRecord Job;
  Job.Id = Request.IdempotencyKey
               ? jobIdFor(Admitted->Team, *Request.IdempotencyKey)
               : JobId(randomHex(JobIdBytes));
  Job.Team = Admitted->Team;
  Job.Class = Request.Class;
  Job.Owner = this->Deps.Self;
  Job.DeadlineMs =
      this->Deps.Environment.wallClockMs() + Admitted->Class.Deadline.count();
  Job.PayloadType = Request.ContentType;
  runInBackground<StoredOutcome>(
      this->Deps.Background,
      [Store = JobStore(this->Deps.Platform), Job,
       Body = Request.Body]() mutable { return Store.create(Job, Body); },
      [this, OnDone = std::move(OnDone)](StoredOutcome Stored) {
        this->Deps.Limiter.recordOutcome(Stored.has_value(),
                                         this->Deps.Clock.now());
        if (!Stored) {
          OnDone(makeError(ErrorKind::PlatformUnavailable,
                           "it is unknown whether the job was stored; if an "
                           "Idempotency-Key was sent, repeat the request "
                           "with it",
                           PlatformRetryAfter));
          return;
        }
        this->Deps.Stats.count("jobs_accepted_total");
        if (Stored->Record.Owner == this->Deps.Self &&
            Stored->Record.State == JobState::Queued)
          this->QueuedJobs.push_back(Stored->Record.Id);
        OnDone(describe(HttpAccepted, Stored->Record));
      });
}

void JobService::readTeamJob(const JobRequest &Request, Callback OnDone,
                             std::function<void(StoredJob)> OnRead) {
  Result<TeamId> Team = this->Deps.Environment.teamOfKey(Request.Key);
  if (!Team) {
    OnDone(tl::unexpected(Team.error()));
    return;
  }
  runInBackground<StoredOutcome>(
      this->Deps.Background,
      [Store = JobStore(this->Deps.Platform), Id = Request.Id]() mutable {
        return Store.read(Id);
      },
      [Team = *Team, OnDone = std::move(OnDone),
       OnRead = std::move(OnRead)](StoredOutcome Read) {
        if (!Read) {
          OnDone(tl::unexpected(Read.error()));
          return;
        }
        // Don't reveal that another team has a job with this id.
        if (Read->Record.Team != Team) {
          OnDone(makeError(ErrorKind::NotFound, "no job has this id"));
          return;
        }
        OnRead(std::move(*Read));
      });
}

void JobService::status(const JobRequest &Request, Callback OnDone) {
  this->readTeamJob(Request, OnDone, [OnDone](const StoredJob &Job) {
    OnDone(describe(200, Job.Record));
  });
}

void JobService::fetch(const JobRequest &Request, Callback OnDone) {
  this->readTeamJob(Request, OnDone, [this, OnDone](const StoredJob &Job) {
    if (Job.Record.State != JobState::Done) {
      OnDone(makeError(ErrorKind::NotFound,
                       "the job has no result: its state is " +
                           std::string(toString(Job.Record.State))));
      return;
    }
    runInBackground<Result<std::string>>(
        this->Deps.Background,
        [Store = JobStore(this->Deps.Platform), Id = Job.Record.Id]() mutable {
          return Store.resultOf(Id);
        },
        [OnDone, Record = Job.Record](Result<std::string> Body) {
          if (Body)
            OnDone(JobResponse{Record.ResultStatus, Record.ResultType, *Body});
          else
            OnDone(tl::unexpected(Body.error()));
        });
  });
}

void JobService::cancelJob(const JobRequest &Request, Callback OnDone) {
  this->readTeamJob(Request, OnDone, [this, OnDone](const StoredJob &Job) {
    if (Job.Record.isFinal()) {
      OnDone(describe(200, Job.Record));
      return;
    }
    JobRecord Changed = Job.Record;
    Changed.State = JobState::Cancelled;
    Changed.Detail = Job.Record.State == JobState::Queued
                         ? "cancelled before it ran"
                         : "cancelled while it may have run";
    runInBackground<StoredOutcome>(
        this->Deps.Background,
        [Store = JobStore(this->Deps.Platform), Job, Changed]() mutable {
          return Store.update(Job, Changed);
        },
        [this, OnDone](StoredOutcome Updated) {
          if (!Updated) {
            OnDone(tl::unexpected(Updated.error()));
            return;
          }
          // Only now: the dispatcher ends a waiting request at once, and a
          // write of this end before the cancellation would queue the job
          // again. After it, the write fails with a version conflict.
          const JobId &Id = Updated->Record.Id;
          if (this->InFlight.contains(Id))
            this->Deps.Work.cancel(RequestId(Id.str()));
          OnDone(describe(200, Updated->Record));
        });
  });
}

void JobService::beginStop() {
  this->Stopping = true;
  for (const JobId &Id : std::exchange(this->QueuedJobs, {}))
    this->Deps.Background.run(
        [Store = JobStore(this->Deps.Platform), Id,
         Self = this->Deps.Self]() mutable {
          StoredOutcome Read = Store.read(Id);
          if (!Read || Read->Record.State != JobState::Queued ||
              Read->Record.Owner != Self)
            return;
          JobRecord Released = Read->Record;
          Released.Owner = DaemonId();
          (void)Store.update(*Read, Released);
        },
        [] {});
}

void JobService::tick() {
  const Instant Now = this->Deps.Clock.now();
  while (!this->PendingWrites.empty() &&
         this->Deps.Limiter.tryAcquire(CallPriority::Normal, Now)) {
    PendingWrite Next = std::move(this->PendingWrites.front());
    this->PendingWrites.pop_front();
    this->writeBack(std::move(Next.Job), std::move(Next.Changed),
                    std::move(Next.ResultBody));
  }
  while (!this->Stopping && !this->QueuedJobs.empty() &&
         this->InFlight.size() < MaxInFlight &&
         this->Deps.Limiter.tryAcquire(CallPriority::Normal, Now)) {
    const JobId Next = this->QueuedJobs.front();
    this->QueuedJobs.pop_front();
    if (this->InFlight.insert(Next).second)
      this->startJob(Next);
  }
}

void JobService::startJob(const JobId &Id) {
  struct StartOutcome {
    StoredOutcome Job;
    std::string Payload;
    bool ShouldRetry = false;
  };
  runInBackground<StartOutcome>(
      this->Deps.Background,
      [Store = JobStore(this->Deps.Platform), Id, Self = this->Deps.Self,
       MayBeMarkedRunning =
           this->PossiblyStarted.contains(Id)]() mutable -> StartOutcome {
        StoredOutcome Read = Store.read(Id);
        if (!Read)
          return {Read, "", Read.error().Kind != ErrorKind::NotFound};
        const JobState State = Read->Record.State;
        const bool IsMarkedRunning =
            State == JobState::Running && MayBeMarkedRunning;
        if (Read->Record.Owner != Self ||
            (State != JobState::Queued && !IsMarkedRunning))
          return {makeError(ErrorKind::VersionConflict,
                            "the job is no longer queued on this daemon"),
                  "", false};
        Result<std::string> Payload = Store.payload(Id);
        if (!Payload)
          return {tl::unexpected(Payload.error()), "", true};
        if (IsMarkedRunning)
          return {Read, *Payload, false};
        JobRecord Running = Read->Record;
        Running.State = JobState::Running;
        ++Running.Attempts;
        StoredOutcome Updated = Store.update(*Read, Running);
        const bool IsOutcomeUnknown =
            !Updated && Updated.error().Kind != ErrorKind::VersionConflict;
        return {Updated, *Payload, IsOutcomeUnknown};
      },
      [this, Id](StartOutcome Outcome) {
        this->PossiblyStarted.erase(Id);
        if (Outcome.Job) {
          this->submitToDispatcher(*Outcome.Job, std::move(Outcome.Payload));
          return;
        }
        this->InFlight.erase(Id);
        if (!Outcome.ShouldRetry)
          return;
        this->PossiblyStarted.insert(Id);
        this->QueuedJobs.push_back(Id);
      });
}

void JobService::submitToDispatcher(StoredJob Job, std::string Payload) {
  WorkRequest Request;
  Request.Id = RequestId(Job.Record.Id.str());
  Request.Class = Job.Record.Class;
  Request.AdmittedTeam = Job.Record.Team;
  Request.RemainingTime = milliseconds(std::max<std::int64_t>(
      0, Job.Record.DeadlineMs - this->Deps.Environment.wallClockMs()));
  Request.ContentType = Job.Record.PayloadType;
  Request.Body = std::move(Payload);
  this->Deps.Work.submit(
      std::move(Request),
      [this, Job = std::move(Job)](Result<WorkResponse> Outcome) mutable {
        this->handleOutcome(std::move(Job), std::move(Outcome));
      });
}

void JobService::handleOutcome(StoredJob Job, Result<WorkResponse> Outcome) {
  JobRecord Changed = Job.Record;
  if (Outcome) {
    Changed.State = JobState::Done;
    Changed.ResultStatus = Outcome->Status;
    Changed.ResultType = Outcome->ContentType;
    this->writeBack(std::move(Job), std::move(Changed),
                    std::move(Outcome->Body));
    return;
  }
  const Error &Failure = Outcome.error();
  const bool DidNotRun =
      errorResponseFor(Failure.Kind).Execution == ExecutionState::DidNotRun;
  const bool IsBeforeDeadline =
      this->Deps.Environment.wallClockMs() < Job.Record.DeadlineMs;
  const bool MayRepeat =
      DidNotRun ||
      this->Deps.Environment.isIdempotent(Job.Record.Class).value_or(false);
  Changed.State =
      MayRepeat && IsBeforeDeadline ? JobState::Queued : JobState::Failed;
  Changed.Detail =
      std::string(errorResponseFor(Failure.Kind).Name) + ": " + Failure.Detail;
  this->writeBack(std::move(Job), std::move(Changed), "");
}

void JobService::writeBack(StoredJob Job, JobRecord Changed,
                           std::string ResultBody) {
  runInBackground<StoredOutcome>(
      this->Deps.Background,
      [Store = JobStore(this->Deps.Platform), Job, Changed,
       ResultBody]() mutable -> StoredOutcome {
        if (Changed.State == JobState::Done)
          if (Result<void> Stored = Store.putResult(Changed.Id, ResultBody);
              !Stored)
            return tl::unexpected(Stored.error());
        return Store.update(Job, Changed);
      },
      [this, Job, Changed, ResultBody](StoredOutcome Updated) {
        const bool IsOutcomeUnknown =
            !Updated && Updated.error().Kind != ErrorKind::VersionConflict;
        if (IsOutcomeUnknown) {
          // The write failed or its outcome is unknown; tick() repeats it.
          this->Deps.Stats.countRetry(RetryReason::PlatformTimeout);
          this->Deps.Limiter.recordOutcome(false, this->Deps.Clock.now());
          this->PendingWrites.push_back(PendingWrite{Job, Changed, ResultBody});
          return;
        }
        this->InFlight.erase(Changed.Id);
        this->Deps.Stats.count("jobs_" + std::string(toString(Changed.State)) +
                               "_total");
        if (Updated && Changed.State == JobState::Queued)
          this->QueuedJobs.push_back(Changed.Id);
      });
}

void JobService::takeOverOrphanedJobs() {
  if (this->TakingOver || this->Stopping ||
      !this->Deps.Limiter.tryAcquire(CallPriority::Background,
                                     this->Deps.Clock.now()))
    return;
  this->TakingOver = true;
  using ReadOutcome = Result<std::vector<StoredJob>>;
  runInBackground<ReadOutcome>(
      this->Deps.Background,
      [Store = JobStore(this->Deps.Platform)]() mutable {
        return Store.readAll();
      },
      [this](ReadOutcome Jobs) {
        this->TakingOver = false;
        if (!Jobs)
          return;
        for (const StoredJob &Job : *Jobs)
          if (!Job.Record.isFinal())
            this->takeOver(Job);
      });
}

void JobService::takeOver(const StoredJob &Job) {
  const JobRecord &Found = Job.Record;
  const bool IsOwnedHere = Found.Owner == this->Deps.Self;
  const bool IsTracked =
      this->InFlight.contains(Found.Id) ||
      std::find(this->QueuedJobs.begin(), this->QueuedJobs.end(), Found.Id) !=
          this->QueuedJobs.end();
  if (IsTracked ||
      (!IsOwnedHere && !this->Deps.Environment.isGoneOrUnowned(Found.Owner)))
    return;
  JobRecord Changed = Found;
  Changed.Owner = this->Deps.Self;
  const bool IsIdempotent =
      this->Deps.Environment.isIdempotent(Found.Class).value_or(false);
  // It is unknown whether a job in state Running was completed, so only
  // idempotent jobs are queued again.
  Changed.State = Found.State == JobState::Queued || IsIdempotent
                      ? JobState::Queued
                      : JobState::Failed;
  if (Changed.State == JobState::Failed)
    Changed.Detail = "its daemon vanished while it may have run";
  logEvent(LogLevel::Info, "job.taken_over",
           {{"job", Found.Id.str()}, {"from", Found.Owner.str()}});
  this->InFlight.insert(Found.Id);
  this->writeBack(Job, Changed, "");
}

} // namespace sardinerill
