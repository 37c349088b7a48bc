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

/// Jobs of one daemon that are in the dispatcher's hands at once.
constexpr std::size_t MaxInHand = 16;
constexpr std::size_t JobIdBytes = 12;
constexpr milliseconds PlatformRetry{1000};
constexpr unsigned Accepted = 202;

/// The same key gives the same job, wherever it is sent.
JobId jobIdFor(const TeamId &Team, const std::string &IdempotencyKey) {
  const std::string Name = Team.str() + "/" + IdempotencyKey;
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  EVP_Digest(Name.data(), Name.size(), Digest.data(), nullptr, EVP_sha256(),
             nullptr);
  return JobId(toHex(std::string(Digest.begin(), Digest.begin() + JobIdBytes)));
}

JobAnswer describe(unsigned Status, const JobRecord &Job) {
  json Body{{"jobId", Job.Id.str()},
            {"class", Job.Class.str()},
            {"state", toString(Job.State)},
            {"deadlineMs", Job.DeadlineMs},
            {"attempts", Job.Attempts}};
  if (!Job.Detail.empty())
    Body["detail"] = Job.Detail;
  return JobAnswer{Status, "application/json", Body.dump()};
}

} // namespace

void JobService::call(JobCall Call, Done Finished) {
  using Verb = JobCall::Verb;
  switch (Call.Wanted) {
  case Verb::Submit:
    this->submit(Call, std::move(Finished));
    return;
  case Verb::Status:
    this->status(Call, std::move(Finished));
    return;
  case Verb::Fetch:
    this->fetch(Call, std::move(Finished));
    return;
  case Verb::Cancel:
    this->cancelJob(Call, std::move(Finished));
    return;
  }
}

void JobService::submit(const JobCall &Call, Done Finished) {
  // The job's row makes it run at most once; no further key is needed.
  Result<Admitted> Taken =
      this->Parts.Around.admit(AdmissionRequest{Call.Class, Call.Key, true});
  if (!Taken) {
    Finished(tl::unexpected(Taken.error()));
    return;
  }
  if (Taken->Class.Deadline == milliseconds(0)) {
    Finished(makeError(ErrorKind::BadRequest,
                       "the class has no deadline: send it to /v1/work/"));
    return;
  }
  if (!this->Parts.Gate.allow(CallPriority::Urgent, this->Parts.Clock.now())) {
    Finished(makeError(ErrorKind::PlatformUnavailable,
                       "the job can't be kept now", PlatformRetry));
    return;
  }
  JobRecord Job;
  Job.Id = Call.IdempotencyKey ? jobIdFor(Taken->Team, *Call.IdempotencyKey)
                               : JobId(randomHex(JobIdBytes));
  Job.Team = Taken->Team;
  Job.Class = Call.Class;
  Job.Owner = this->Parts.Self;
  Job.DeadlineMs =
      this->Parts.Around.wallClockMs() + Taken->Class.Deadline.count();
  Job.PayloadType = Call.ContentType;
  runFor<StoredOutcome>(
      this->Parts.Background,
      [Store = JobStore(this->Parts.Platform), Job,
       Body = Call.Body]() mutable { return Store.create(Job, Body); },
      [this, Finished = std::move(Finished)](StoredOutcome Kept) {
        this->Parts.Gate.record(Kept.has_value(), this->Parts.Clock.now());
        if (!Kept) {
          Finished(makeError(ErrorKind::PlatformUnavailable,
                             "it is not known whether the job was kept; send "
                             "it again with its Idempotency-Key",
                             PlatformRetry));
          return;
        }
        this->Parts.Figures.count("jobs_accepted_total");
        if (Kept->Record.Owner == this->Parts.Self &&
            Kept->Record.State == JobState::Queued)
          this->Waiting.push_back(Kept->Record.Id);
        Finished(describe(Accepted, Kept->Record));
      });
}

void JobService::withOwnJob(const JobCall &Call, Done Finished,
                            std::function<void(StoredJob)> Then) {
  Result<TeamId> Team = this->Parts.Around.identify(Call.Key);
  if (!Team) {
    Finished(tl::unexpected(Team.error()));
    return;
  }
  runFor<StoredOutcome>(
      this->Parts.Background,
      [Store = JobStore(this->Parts.Platform), Id = Call.Id]() mutable {
        return Store.read(Id);
      },
      [Team = *Team, Finished = std::move(Finished),
       Then = std::move(Then)](StoredOutcome Read) {
        if (!Read) {
          Finished(tl::unexpected(Read.error()));
          return;
        }
        // Another team's job is as good as none.
        if (Read->Record.Team != Team) {
          Finished(makeError(ErrorKind::NotFound, "no job has this id"));
          return;
        }
        Then(std::move(*Read));
      });
}

void JobService::status(const JobCall &Call, Done Finished) {
  this->withOwnJob(Call, Finished, [Finished](const StoredJob &Job) {
    Finished(describe(200, Job.Record));
  });
}

void JobService::fetch(const JobCall &Call, Done Finished) {
  this->withOwnJob(Call, Finished, [this, Finished](const StoredJob &Job) {
    if (Job.Record.State != JobState::Done) {
      Finished(
          makeError(ErrorKind::NotFound,
                    "the job is " + std::string(toString(Job.Record.State))));
      return;
    }
    runFor<Result<std::string>>(
        this->Parts.Background,
        [Store = JobStore(this->Parts.Platform), Id = Job.Record.Id]() mutable {
          return Store.resultOf(Id);
        },
        [Finished, Record = Job.Record](Result<std::string> Body) {
          if (Body)
            Finished(JobAnswer{Record.ResultStatus, Record.ResultType, *Body});
          else
            Finished(tl::unexpected(Body.error()));
        });
  });
}

void JobService::cancelJob(const JobCall &Call, Done Finished) {
  this->withOwnJob(Call, Finished, [this, Finished](const StoredJob &Job) {
    if (Job.Record.isFinal()) {
      Finished(describe(200, Job.Record));
      return;
    }
    JobRecord Changed = Job.Record;
    Changed.State = JobState::Cancelled;
    Changed.Detail = Job.Record.State == JobState::Queued
                         ? "cancelled before it ran"
                         : "cancelled while it may have run";
    // Harmless where another daemon runs it: its end finds the row moved on.
    if (this->InHand.contains(Job.Record.Id))
      this->Parts.Work.cancel(RequestId(Job.Record.Id.str()));
    runFor<StoredOutcome>(
        this->Parts.Background,
        [Store = JobStore(this->Parts.Platform), Job, Changed]() mutable {
          return Store.update(Job, Changed);
        },
        [Finished](StoredOutcome Written) {
          if (Written)
            Finished(describe(200, Written->Record));
          else
            Finished(tl::unexpected(Written.error()));
        });
  });
}

void JobService::beginStop() {
  this->Stopping = true;
  for (const JobId &Id : std::exchange(this->Waiting, {}))
    this->Parts.Background.run(
        [Store = JobStore(this->Parts.Platform), Id,
         Self = this->Parts.Self]() mutable {
          StoredOutcome Read = Store.read(Id);
          if (!Read || Read->Record.State != JobState::Queued ||
              Read->Record.Owner != Self)
            return;
          JobRecord Left = Read->Record;
          Left.Owner = DaemonId();
          (void)Store.update(*Read, Left);
        },
        [] {});
}

void JobService::tick() {
  const Instant Now = this->Parts.Clock.now();
  while (!this->ToStore.empty() &&
         this->Parts.Gate.allow(CallPriority::Normal, Now)) {
    Unstored Next = std::move(this->ToStore.front());
    this->ToStore.pop_front();
    this->store(std::move(Next.Job), std::move(Next.Changed),
                std::move(Next.ResultBody));
  }
  while (!this->Stopping && !this->Waiting.empty() &&
         this->InHand.size() < MaxInHand &&
         this->Parts.Gate.allow(CallPriority::Normal, Now)) {
    const JobId Next = this->Waiting.front();
    this->Waiting.pop_front();
    if (this->InHand.insert(Next).second)
      this->start(Next);
  }
}

void JobService::start(const JobId &Id) {
  struct Started {
    StoredOutcome Job;
    std::string Payload;
    bool TryAgain = false;
  };
  runFor<Started>(
      this->Parts.Background,
      [Store = JobStore(this->Parts.Platform), Id, Self = this->Parts.Self,
       MayBeStarted = this->MayBeStarted.contains(Id)]() mutable -> Started {
        StoredOutcome Read = Store.read(Id);
        if (!Read)
          return {Read, "", Read.error().Kind != ErrorKind::NotFound};
        const JobState State = Read->Record.State;
        const bool IsStarted = State == JobState::Running && MayBeStarted;
        if (Read->Record.Owner != Self ||
            (State != JobState::Queued && !IsStarted))
          return {makeError(ErrorKind::VersionConflict, "not ours to run"), "",
                  false};
        Result<std::string> Payload = Store.payload(Id);
        if (!Payload)
          return {tl::unexpected(Payload.error()), "", true};
        if (IsStarted)
          return {Read, *Payload, false};
        JobRecord Running = Read->Record;
        Running.State = JobState::Running;
        ++Running.Attempts;
        StoredOutcome Written = Store.update(*Read, Running);
        const bool Unknown =
            !Written && Written.error().Kind != ErrorKind::VersionConflict;
        return {Written, *Payload, Unknown};
      },
      [this, Id](Started Outcome) {
        this->MayBeStarted.erase(Id);
        if (Outcome.Job) {
          this->run(*Outcome.Job, std::move(Outcome.Payload));
          return;
        }
        this->InHand.erase(Id);
        if (!Outcome.TryAgain)
          return;
        this->MayBeStarted.insert(Id);
        this->Waiting.push_back(Id);
      });
}

void JobService::run(StoredJob Job, std::string Payload) {
  WorkRequest Request;
  Request.Id = RequestId(Job.Record.Id.str());
  Request.Class = Job.Record.Class;
  Request.AdmittedFor = Job.Record.Team;
  Request.FinishWithin = milliseconds(std::max<std::int64_t>(
      0, Job.Record.DeadlineMs - this->Parts.Around.wallClockMs()));
  Request.ContentType = Job.Record.PayloadType;
  Request.Body = std::move(Payload);
  this->Parts.Work.submit(
      std::move(Request),
      [this, Job = std::move(Job)](Result<WorkAnswer> Outcome) mutable {
        this->finish(std::move(Job), std::move(Outcome));
      });
}

void JobService::finish(StoredJob Job, Result<WorkAnswer> Outcome) {
  JobRecord Changed = Job.Record;
  if (Outcome) {
    Changed.State = JobState::Done;
    Changed.ResultStatus = Outcome->Status;
    Changed.ResultType = Outcome->ContentType;
    this->store(std::move(Job), std::move(Changed), std::move(Outcome->Body));
    return;
  }
  const Error &Why = Outcome.error();
  const bool DidNotRun = answerFor(Why.Kind).Ran == RanState::DidNotRun;
  const bool InTime = this->Parts.Around.wallClockMs() < Job.Record.DeadlineMs;
  const bool MayRepeat =
      DidNotRun ||
      this->Parts.Around.isIdempotent(Job.Record.Class).value_or(false);
  Changed.State = MayRepeat && InTime ? JobState::Queued : JobState::Failed;
  Changed.Detail = std::string(answerFor(Why.Kind).Name) + ": " + Why.Detail;
  this->store(std::move(Job), std::move(Changed), "");
}

void JobService::store(StoredJob Job, JobRecord Changed,
                       std::string ResultBody) {
  runFor<StoredOutcome>(
      this->Parts.Background,
      [Store = JobStore(this->Parts.Platform), Job, Changed,
       ResultBody]() mutable -> StoredOutcome {
        if (Changed.State == JobState::Done)
          if (Result<void> Kept = Store.putResult(Changed.Id, ResultBody);
              !Kept)
            return tl::unexpected(Kept.error());
        return Store.update(Job, Changed);
      },
      [this, Job, Changed, ResultBody](StoredOutcome Written) {
        const bool Unknown =
            !Written && Written.error().Kind != ErrorKind::VersionConflict;
        if (Unknown) {
          // The work is done; only its outcome is not kept yet.
          this->Parts.Figures.countRetry(RetryReason::PlatformTimeout);
          this->Parts.Gate.record(false, this->Parts.Clock.now());
          this->ToStore.push_back(Unstored{Job, Changed, ResultBody});
          return;
        }
        this->InHand.erase(Changed.Id);
        this->Parts.Figures.count(
            "jobs_" + std::string(toString(Changed.State)) + "_total");
        if (Written && Changed.State == JobState::Queued)
          this->Waiting.push_back(Changed.Id);
      });
}

void JobService::adopt() {
  if (this->Adopting || this->Stopping ||
      !this->Parts.Gate.allow(CallPriority::Background,
                              this->Parts.Clock.now()))
    return;
  this->Adopting = true;
  using All = Result<std::vector<StoredJob>>;
  runFor<All>(
      this->Parts.Background,
      [Store = JobStore(this->Parts.Platform)]() mutable {
        return Store.readAll();
      },
      [this](All Jobs) {
        this->Adopting = false;
        if (!Jobs)
          return;
        for (const StoredJob &Job : *Jobs)
          if (!Job.Record.isFinal())
            this->takeOver(Job);
      });
}

void JobService::takeOver(const StoredJob &Job) {
  const JobRecord &Found = Job.Record;
  const bool Mine = Found.Owner == this->Parts.Self;
  const bool Known = this->InHand.contains(Found.Id) ||
                     std::find(this->Waiting.begin(), this->Waiting.end(),
                               Found.Id) != this->Waiting.end();
  if (Known || (!Mine && !this->Parts.Around.isGone(Found.Owner)))
    return;
  JobRecord Changed = Found;
  Changed.Owner = this->Parts.Self;
  const bool Repeats =
      this->Parts.Around.isIdempotent(Found.Class).value_or(false);
  // Whether a job that was running ran to its end can't be told.
  Changed.State = Found.State == JobState::Queued || Repeats ? JobState::Queued
                                                             : JobState::Failed;
  if (Changed.State == JobState::Failed)
    Changed.Detail = "its daemon vanished while it may have run";
  logEvent(LogLevel::Info, "job.taken_over",
           {{"job", Found.Id.str()}, {"from", Found.Owner.str()}});
  this->InHand.insert(Found.Id);
  this->store(Job, Changed, "");
}

} // namespace sardinerill
