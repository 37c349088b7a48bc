#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

/// \file
/// Accounting for runs of previous holders that may still be active.
///
/// If the previous holder was partitioned together with its zone, the new
/// holder can't reach the upstreams of that zone, a third of all. They keep
/// running tasks, while their entries expire from the registry.

namespace sardinerill::site {

namespace {

Resources componentMin(const Resources &Left, const Resources &Right) {
  return {.CpuMilli = std::min(Left.CpuMilli, Right.CpuMilli),
          .MemoryMb = std::min(Left.MemoryMb, Right.MemoryMb),
          .Accelerators = std::min(Left.Accelerators, Right.Accelerators)};
}

/// \returns for each step whether an earlier holder may have started it: what
/// it depends on has ended, or may have where this holder got no answer.
/// \param Copies whether a task that runs may have another run.
std::vector<bool> stepsThatMayRun(const JobSpec &Spec,
                                  const OccurrenceRecord &Occurrence,
                                  bool Copies) {
  std::vector<bool> MayRun(Spec.Steps.size());
  std::vector<bool> MayHaveEnded(Spec.Steps.size());
  for (std::size_t Step = 0; Step < Spec.Steps.size(); ++Step) {
    // Steps are listed after their dependencies; others are ignored.
    MayRun[Step] =
        std::ranges::all_of(Spec.Steps[Step].DependsOn, [&](int Dependency) {
          return Dependency < 0 || Dependency >= int(Step) ||
                 MayHaveEnded[std::size_t(Dependency)];
        });
    MayHaveEnded[Step] =
        MayRun[Step] && ((Copies && Spec.Steps[Step].Speculative) ||
                         std::ranges::all_of(Occurrence.Steps[Step].Tasks,
                                             [](const TaskRecord &Task) {
                                               return Task.Done ||
                                                      Task.Runs.empty();
                                             }));
  }
  return MayRun;
}

} // namespace

bool Scheduler::Impl::hasUnansweredUpstream(const PoolId &Pool) const {
  const auto Reported = this->ByPool.find(Pool);
  if (!this->VmsListed || Reported == this->ByPool.end())
    return true; // The VM list or the registry has not been read yet.
  if (std::ranges::any_of(Reported->second, [](const UpstreamRecord *Each) {
        return !Each->Answered;
      }))
    return true;
  const auto HostedInPool = this->HostedCapacity.find(Pool);
  return HostedInPool != this->HostedCapacity.end() &&
         std::ranges::any_of(HostedInPool->second, [this](const auto &Entry) {
           return !this->hasAnswered(Entry.first);
         });
}

bool Scheduler::Impl::hasAnswered(const UpstreamId &Id) const {
  const auto Found = this->Upstreams.find(Id);
  return Found != this->Upstreams.end() && Found->second->Answered;
}

std::set<PoolId> Scheduler::Impl::poolsWithUnlistedEnds() const {
  std::set<PoolId> Pools;
  for (const auto &[Id, Upstream] : this->Upstreams)
    if (Upstream->Answered && !Upstream->RunsKnown)
      Pools.insert(Upstream->Report.Pool);
  return Pools;
}

Resources Scheduler::Impl::unansweredCapacity(const PoolId &Pool) const {
  Resources Sum;
  const auto HostedInPool = this->HostedCapacity.find(Pool);
  if (HostedInPool != this->HostedCapacity.end())
    for (const auto &[Id, Capacity] : HostedInPool->second)
      if (!this->hasAnswered(Id))
        Sum += Capacity;
  if (const auto Reported = this->ByPool.find(Pool);
      Reported != this->ByPool.end())
    for (const UpstreamRecord *Each : Reported->second)
      if (!Each->Answered && (HostedInPool == this->HostedCapacity.end() ||
                              !HostedInPool->second.contains(Each->Report.Id)))
        Sum += Each->Report.Capacity;
  return Sum;
}

std::set<PoolId> Scheduler::Impl::allPools() const {
  std::set<PoolId> Pools;
  for (const auto &[Id, Members] : this->ByPool)
    Pools.insert(Id);
  for (const auto &[Id, Capacities] : this->HostedCapacity)
    Pools.insert(Id);
  return Pools;
}

Resources Scheduler::Impl::unansweredCapacity() const {
  Resources Sum;
  for (const PoolId &Pool : this->allPools())
    Sum += this->unansweredCapacity(Pool);
  return Sum;
}

void Scheduler::Impl::updateFullyAnsweredPools(Instant Now) {
  this->FullyAnsweredPools.clear();
  this->AllPoolsAnswered = false;
  this->InheritedRunsExpired = Now >= this->Options.InheritedRunsUntil;
  // An upstream that answers keeps the ends of its runs for as long as its
  // lease is extended, so that no time ends the wait for them.
  this->PoolsWithUnlistedEnds = this->poolsWithUnlistedEnds();
  if (this->InheritedRunsExpired)
    return;
  for (const auto &[Id, Members] : this->ByPool)
    if (!this->hasUnansweredUpstream(Id))
      this->FullyAnsweredPools.insert(Id);
  this->AllPoolsAnswered =
      this->VmsListed && !this->ByPool.empty() &&
      std::ranges::all_of(this->allPools(), [this](const PoolId &Pool) {
        return this->FullyAnsweredPools.contains(Pool);
      });
}

bool Scheduler::Impl::wasMoved(const JobRecord &Job) const {
  const auto Found = this->PoolsOfQueue.find(Job.Spec.Queue.Id);
  return Found != this->PoolsOfQueue.end() &&
         (Found->second.size() > 1 ||
          !Found->second.contains(Job.Spec.Queue.Pool));
}

bool Scheduler::Impl::isBlockedByInheritedRuns(const JobRecord &Job,
                                               const PoolId &Pool) const {
  if (!Job.Inherited)
    return false;
  // Which pools the queue had in between is not known: any may run the job.
  if (this->wasMoved(Job))
    return !this->PoolsWithUnlistedEnds.empty() ||
           (!this->InheritedRunsExpired && !this->AllPoolsAnswered);
  if (this->PoolsWithUnlistedEnds.contains(Pool) ||
      (!this->InheritedRunsExpired && !this->FullyAnsweredPools.contains(Pool)))
    return true;
  return std::ranges::any_of(Job.OtherPools, [this](const auto &Entry) {
    return this->mayHaveUnknownRuns(Entry.first);
  });
}

bool Scheduler::Impl::mayHaveUnknownRuns(const PoolId &Pool) const {
  if (this->PoolsWithUnlistedEnds.contains(Pool))
    return true;
  const bool Exists =
      this->ByPool.contains(Pool) || this->HostedCapacity.contains(Pool);
  return Exists && !this->InheritedRunsExpired &&
         !this->FullyAnsweredPools.contains(Pool);
}

bool Scheduler::Impl::recordPool(JobRecord &Job, const PoolId &Pool) {
  if (Pool == Job.Spec.Queue.Pool)
    return true;
  const auto [Recorded, IsNew] = Job.OtherPools.try_emplace(Pool, 0);
  if (IsNew) {
    this->markChanged(Job);
    Recorded->second = Job.Revision;
    logEvent(LogLevel::Info, "job.pool_recorded",
             {{"job", Job.Spec.Id.str()},
              {"queue", Job.Spec.Queue.Id.str()},
              {"accepted_for", Job.Spec.Queue.Pool.str()},
              {"pool", Pool.str()}});
  }
  return !Job.awaitsRecordOf(Pool);
}

PoolId Scheduler::Impl::poolOfInheritedRuns(const JobRecord &Job) const {
  return this->wasMoved(Job) || !Job.OtherPools.empty()
             ? PoolId()
             : this->queueSettingsOf(Job).Pool;
}

PossibleUse Scheduler::Impl::possibleUseOf(const JobRecord &Job) const {
  PossibleUse Sum;
  for (const auto &[Number, Occurrence] : Job.Occurrences) {
    const std::vector<bool> MayRun =
        stepsThatMayRun(Job.Spec, Occurrence, this->comparesSpeed());
    for (std::size_t Step = 0; Step < Occurrence.Steps.size(); ++Step) {
      if (!MayRun[Step])
        continue;
      const auto TasksWithoutRun = std::ranges::count_if(
          Occurrence.Steps[Step].Tasks, [](const TaskRecord &Task) {
            return !Task.Done && Task.Runs.empty();
          });
      const StepSpec &Spec = Job.Spec.Steps[Step];
      (Spec.BestEffort ? Sum.BestEffort : Sum.Reserved) +=
          Spec.Requested * TasksWithoutRun;
      // An earlier holder may have started copies of the others.
      if (this->comparesSpeed() && Spec.Speculative && !Spec.LongRunning &&
          !Spec.Gang)
        Sum.Reserved +=
            Spec.Requested *
            std::ranges::count_if(Occurrence.Steps[Step].Tasks,
                                  [](const TaskRecord &Task) {
                                    return Task.Done || Task.Runs.size() == 1;
                                  });
    }
  }
  return Sum;
}

void Scheduler::Impl::recordInheritedEnd(const JobRecord &Job) {
  if (this->isBlockedByInheritedRuns(Job, this->queueSettingsOf(Job).Pool))
    this->EndedInheritedJobs.push_back({this->poolOfInheritedRuns(Job),
                                        Job.Spec.Organisation,
                                        this->possibleUseOf(Job)});
}

void Scheduler::Impl::updatePossibleInheritedUse(Instant Now) {
  this->PossibleInheritedUse.clear();
  if (Now >= this->Options.InheritedRunsUntil) {
    this->EndedInheritedJobs.clear();
    return;
  }
  std::map<std::pair<PoolId, OrganisationId>, Resources> PossiblyRunning;
  const auto Add = [&](const PoolId &Pool, const OrganisationId &Organisation,
                       const PossibleUse &Use) {
    PossiblyRunning[{Pool, Organisation}] += Use.Reserved;
    // Best-effort tasks reserve no CPU, so the capacity does not limit them.
    this->PossibleInheritedUse[Organisation] += Use.BestEffort;
  };
  for (const auto &[Id, Live] : this->LiveJobs) {
    const JobRecord &Job = *Live;
    if (this->isBlockedByInheritedRuns(Job, this->queueSettingsOf(Job).Pool))
      Add(this->poolOfInheritedRuns(Job), Job.Spec.Organisation,
          this->possibleUseOf(Job));
  }
  for (const EndedInheritedJob &Ended : this->EndedInheritedJobs)
    if (Ended.Pool.empty() ? !this->AllPoolsAnswered
                           : !this->FullyAnsweredPools.contains(Ended.Pool))
      Add(Ended.Pool, Ended.Organisation, Ended.Use);
  // Bounded by the capacity of the upstreams that have not answered.
  for (const auto &[Key, Sum] : PossiblyRunning)
    this->PossibleInheritedUse[Key.second] +=
        this->VmsListed
            ? componentMin(Sum, Key.first.empty()
                                    ? this->unansweredCapacity()
                                    : this->unansweredCapacity(Key.first))
            : Sum;
}

Resources Scheduler::Impl::possibleInheritedUse(
    const OrganisationId &Organisation) const {
  const auto Found = this->PossibleInheritedUse.find(Organisation);
  return this->PossibleUncountedUse + (Found == this->PossibleInheritedUse.end()
                                           ? Resources{}
                                           : Found->second);
}

} // namespace sardinerill::site
