#include "jobgraph.h"
#include "schedulerstate.h"

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
  if (!Job.Inherited || this->InheritedRunsExpired)
    return false;
  // Which pools the queue had in between is not known: any may run the job.
  return this->wasMoved(Job) ? !this->AllPoolsAnswered
                             : !this->FullyAnsweredPools.contains(Pool);
}

void Scheduler::Impl::updatePossibleInheritedUse(Instant Now) {
  this->PossibleInheritedUse.clear();
  if (Now >= this->Options.InheritedRunsUntil)
    return;
  // No pool stands for any pool.
  std::map<std::pair<std::optional<PoolId>, OrganisationId>, Resources>
      PossiblyRunning;
  for (const JobId &Id : this->LiveJobs) {
    const JobRecord &Job = *this->Jobs.at(Id);
    const PoolId &Pool = this->queueSettingsOf(Job).Pool;
    if (!this->isBlockedByInheritedRuns(Job, Pool))
      continue;
    Resources &Sum = PossiblyRunning[{this->wasMoved(Job) ? std::nullopt
                                                          : std::optional(Pool),
                                      Job.Spec.Organisation}];
    for (const auto &[Number, Occurrence] : Job.Occurrences)
      for (std::size_t Step = 0; Step < Occurrence.Steps.size(); ++Step) {
        if (!isReady(Job.Spec, Occurrence, int(Step)))
          continue;
        const auto TasksWithoutRun = std::ranges::count_if(
            Occurrence.Steps[Step].Tasks, [](const TaskRecord &Task) {
              return !Task.Done && Task.Runs.empty();
            });
        const StepSpec &Spec = Job.Spec.Steps[Step];
        // Best-effort tasks reserve no CPU, so the capacity does not limit
        // them.
        (Spec.BestEffort ? this->PossibleInheritedUse[Job.Spec.Organisation]
                         : Sum) += Spec.Requested * TasksWithoutRun;
      }
  }
  // Bounded by the capacity of the upstreams that have not answered.
  for (const auto &[Key, Sum] : PossiblyRunning)
    this->PossibleInheritedUse[Key.second] +=
        this->VmsListed
            ? componentMin(Sum, Key.first ? this->unansweredCapacity(*Key.first)
                                          : this->unansweredCapacity())
            : Sum;
}

Resources Scheduler::Impl::possibleInheritedUse(
    const OrganisationId &Organisation) const {
  const auto Found = this->PossibleInheritedUse.find(Organisation);
  return Found == this->PossibleInheritedUse.end() ? Resources{}
                                                   : Found->second;
}

} // namespace sardinerill::site
