#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

/// \file
/// Ends of upstream processes, and the tasks suspected of causing them.

namespace sardinerill::site {

namespace {

/// Upstreams of one rack that end within this time are taken to have failed
/// together.
constexpr milliseconds RackFailureTime{500};
/// Number of upstreams of a rack, besides the one in question, from which on a
/// rack counts as failing.
constexpr int RackFailureOthers = 2;

std::int64_t inMillis(Duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

} // namespace

bool Scheduler::Impl::isRackFailing(const UpstreamRecord &Upstream,
                                    Instant Now) const {
  if (Upstream.rack().empty())
    return false;
  auto Others =
      std::ranges::count_if(this->RecentCrashes, [&](const auto &Each) {
        return Each.first == Upstream.rack() &&
               Now - Each.second < RackFailureTime;
      });
  const Instant LostAt = Upstream.ContactLostAt.value_or(Now);
  for (const auto &[Id, Other] : this->Upstreams)
    if (Other.get() != &Upstream && Other->rack() == Upstream.rack()) {
      const bool Lost = Other->ContactLostAt.has_value();
      const Duration Between = LostAt - Other->ContactLostAt.value_or(LostAt);
      Others += Lost && std::chrono::abs(Between) < RackFailureTime;
    }
  return Others >= RackFailureOthers;
}

UpstreamCrash Scheduler::Impl::crashOf(const UpstreamRecord &Upstream,
                                       Instant Now) const {
  const Instant LostAt = Upstream.ContactLostAt.value_or(Now);
  return {.Earliest = Upstream.ConnectionBroke
                          ? LostAt
                          : std::min(LostAt, Upstream.AnsweredAt),
          .Latest = LostAt,
          .WholeRack = this->isRackFailing(Upstream, Now)};
}

bool Scheduler::Impl::isOneCause(const std::vector<RunPtr> &Suspects) {
  if (Suspects.empty())
    return false;
  const TaskId &First = Suspects.front()->Id.Task;
  const StepSpec *Step = this->spec(First);
  // The members of a gang are one cause.
  const bool Gang = Step && Step->Gang;
  return std::ranges::all_of(Suspects, [&](const RunPtr &Each) {
    const TaskId &Id = Each->Id.Task;
    return Id == First ||
           (Gang && Id.Job == First.Job && Id.Occurrence == First.Occurrence &&
            Id.Step == First.Step);
  });
}

void Scheduler::Impl::countRecentStarts(const UpstreamRecord &Upstream,
                                        const UpstreamCrash &Crash) {
  for (const auto &[Id, Each] : Upstream.Runs) {
    TaskRecord *Task = this->task(Id.Task);
    const Duration Age = Crash.Latest - Each->StartedAt;
    if (Task && !Each->Settled && Age >= Duration::zero() &&
        Age < RepeatedSuspectAge)
      ++Task->Crashes.RecentStarts;
  }
}

std::vector<TaskId> Scheduler::Impl::attributeCrash(UpstreamRecord &Upstream,
                                                    Instant Now) {
  const UpstreamCrash Crash = this->crashOf(Upstream, Now);
  const std::vector<RunPtr> Suspects =
      suspectsOf(Upstream, Crash, [this](const RunPtr &Candidate) {
        const TaskRecord *Task = this->task(Candidate->Id.Task);
        return Task ? &Task->Crashes : nullptr;
      });
  const bool OneCause = this->isOneCause(Suspects);
  ++this->Counts.Upstreams;
  std::erase_if(this->RecentCrashes, [&](const auto &Each) {
    return Now - Each.second > RackFailureTime;
  });
  this->RecentCrashes.emplace_back(Upstream.rack(), Now);
  logEvent(LogLevel::Warning, "upstream.crashed",
           {{"upstream", Upstream.Report.Id.str()},
            {"runs", std::to_string(Upstream.Runs.size())},
            {"suspects", std::to_string(Suspects.size())},
            {"time_within_ms",
             std::to_string(inMillis(Crash.Latest - Crash.Earliest))},
            {"rack_failing", Crash.WholeRack ? "yes" : "no"}});
  this->countRecentStarts(Upstream, Crash);
  std::vector<TaskId> GivenUp;
  for (const RunPtr &Suspect : Suspects)
    if (this->suspect(*Suspect, Crash, OneCause, Now))
      GivenUp.push_back(Suspect->Id.Task);
  return GivenUp;
}

bool Scheduler::Impl::suspect(const Run &Suspect, const UpstreamCrash &Crash,
                              bool OneCause, Instant Now) {
  JobRecord *Job = this->job(Suspect.Id.Task.Job);
  TaskRecord *Task = this->task(Suspect.Id.Task);
  if (!Job || !Task || Job->ended() || Task->Done)
    return false;
  Task->Crashes = recordCrash(Task->Crashes, Crash, OneCause, Now);
  Task->LastRunNumber = std::max(Task->LastRunNumber, Suspect.Id.Number);
  this->markChanged(*Job);
  ++this->Counts.Suspicions;
  logEvent(LogLevel::Info, "task.suspected",
           {{"run", describe(Suspect.Id)},
            {"upstream", Suspect.Upstream.str()},
            {"age_ms",
             std::to_string(inMillis(Crash.Latest - Suspect.latestBegin()))},
            {"crashes", std::to_string(Task->Crashes.Crashes)},
            {"only_suspect", OneCause ? "yes" : "no"}});
  return isGivenUp(Task->Crashes);
}

void Scheduler::Impl::settle(UpstreamRecord &Upstream, const RunPtr &Candidate,
                             Instant Now) {
  TaskRecord *Task = this->task(Candidate->Id.Task);
  if (Candidate->Settled || !Task ||
      Now - Candidate->latestBegin() < probationTime(Task->Crashes))
    return;
  Candidate->Settled = true;
  if (Upstream.OnProbation == Candidate)
    Upstream.OnProbation = nullptr;
  if (!isSuspect(Task->Crashes))
    return;
  logEvent(LogLevel::Info, "task.cleared",
           {{"run", describe(Candidate->Id)},
            {"upstream", Upstream.Report.Id.str()},
            {"crashes", std::to_string(Task->Crashes.Crashes)}});
  if (Task->Crashes.Crashes > 0)
    this->markChanged(*this->job(Candidate->Id.Task.Job));
  Task->Crashes = {};
}

bool Scheduler::Impl::hasRunOnProbation(const JobRecord &Job) const {
  return std::ranges::any_of(this->Upstreams, [&](const auto &Entry) {
    return Entry.second->OnProbation &&
           Entry.second->OnProbation->Id.Task.Job == Job.Spec.Id;
  });
}

std::vector<TaskId> Scheduler::Impl::attributeEnd(UpstreamRecord &Upstream,
                                                  Instant Now) {
  const bool Planned =
      Upstream.Report.Draining || Upstream.Cordoned || Upstream.TakedownPending;
  return Upstream.Answered && !Planned ? this->attributeCrash(Upstream, Now)
                                       : std::vector<TaskId>();
}

void Scheduler::Impl::endGivenUpJobs(const std::vector<TaskId> &GivenUp,
                                     const UpstreamId &Id, Instant Now) {
  for (const TaskId &Task : GivenUp) {
    JobRecord &Job = *this->job(Task.Job);
    if (Job.ended())
      continue;
    ++this->Counts.GivenUpJobs;
    const int Crashes = this->task(Task)->Crashes.Crashes;
    this->endJob(Job, JobState::Failed,
                 "task " + describe(Task) + " crashed " +
                     std::to_string(Crashes) + " upstreams, the last one " +
                     Id.str(),
                 Now);
  }
}

void Scheduler::removeEndedUpstream(const UpstreamId &Id,
                                    std::string_view Reason, Instant Now) {
  std::vector<TaskId> GivenUp;
  if (const auto Found = this->Inner->Upstreams.find(Id);
      Found != this->Inner->Upstreams.end())
    GivenUp = this->Inner->attributeEnd(*Found->second, Now);
  this->removeUpstream(Id, Reason, Now);
  this->Inner->endGivenUpJobs(GivenUp, Id, Now);
}

void Scheduler::retireEndedUpstreams(const std::vector<VmRecord> &Vms,
                                     Instant RequestedAt, Instant Now) {
  std::map<VmId, const VmRecord *> ById;
  for (const VmRecord &Vm : Vms)
    ById[Vm.Id] = &Vm;
  std::vector<std::pair<UpstreamId, bool>> Ended;
  for (const auto &[Id, Upstream] : this->Inner->Upstreams) {
    const auto Vm = ById.find(Upstream->Report.Vm);
    // Without a lost contact, the entry of the list may be the older one.
    const bool LostContact =
        Upstream->ContactLostAt.value_or(RequestedAt) < RequestedAt;
    if (Vm == ById.end() || (!LostContact && !Upstream->ProcessEndedAt))
      continue;
    const bool OtherProcess = Vm->second->State == VmState::Up &&
                              !Vm->second->Upstream.empty() &&
                              Vm->second->Upstream != Id;
    if (Vm->second->State == VmState::Down || OtherProcess)
      Ended.emplace_back(Id, OtherProcess);
  }
  for (const auto &[Id, OtherProcess] : Ended) {
    this->Inner->Retired[Id] = {
        this->Inner->Upstreams.at(Id)->Report.IncarnationStartMs, Now};
    // A process with another id rejects what is sent to this one.
    if (OtherProcess || !this->Inner->keepForNextProcess(Id, RequestedAt, Now))
      this->removeEndedUpstream(Id, "its VM does not run it any more", Now);
  }
}

void Scheduler::recordFailedPoll(const UpstreamId &Id, bool ConnectionBroke,
                                 Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end() || Found->second->ContactLostAt)
    return;
  Found->second->ContactLostAt = Now;
  Found->second->ConnectionBroke = ConnectionBroke;
}

bool Scheduler::hasLostContact() const {
  return std::ranges::any_of(this->Inner->Upstreams, [](const auto &Entry) {
    return Entry.second->ContactLostAt.has_value();
  });
}

CrashCounts Scheduler::crashCounts() const { return this->Inner->Counts; }

} // namespace sardinerill::site
