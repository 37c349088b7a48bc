#include "jobgraph.h"
#include "schedulerstate.h"

#include "sardinerill/scheduling/admissionrequest.h"

#include <algorithm>

/// \file
/// Summary of the load, by which the daemons decide on the admission of jobs.

namespace sardinerill::site {

namespace {

bool isShortJob(const JobSpec &Spec) {
  return Spec.Schedule.Count <= 0 && !hasLongRunningStep(Spec);
}

overload::LargestFree toLargestFree(const Resources &From) {
  return {.CpuMilli = From.CpuMilli,
          .MemoryMb = From.MemoryMb,
          .Accelerators = From.Accelerators};
}

} // namespace

std::optional<overload::AdmissionRequest>
admissionRequestOf(const JobSpec &Spec) {
  if (!isShortJob(Spec))
    return std::nullopt;
  const OccurrenceRecord New = makeOccurrence(Spec, 0, nullptr);
  overload::AdmissionRequest Request{
      .Job = Spec.Id.str(),
      .Queue = Spec.Queue.Id.str(),
      .Pool = Spec.Queue.Pool.str(),
      .Organisation = Spec.Organisation.str(),
      .Priority = Spec.Queue.Priority,
      .CriticalPath = criticalPath(Spec, 1.0),
      .CpuSeconds = remainingCpuSeconds(Spec, New, 1.0),
      .CriticalPathFactor = Spec.Queue.CriticalPathFactor,
      .LatencyTarget = Spec.Queue.LatencyTarget};
  for (std::size_t Step = 0; Step < Spec.Steps.size(); ++Step)
    if (isReady(Spec, New, int(Step)))
      Request.FirstTasks.push_back(
          toLargestFree(reservedResources(Spec.Steps[Step])));
  return Request;
}

void Scheduler::Impl::addWorkAhead(overload::LoadSummary &Summary,
                                   Instant Now) const {
  for (const auto &[Id, Live] : this->LiveJobs) {
    const JobRecord &Job = *Live;
    if (!isShortJob(Job.Spec) || Job.Occurrences.empty())
      continue;
    const QueueSettings &Queue = this->queueSettingsOf(Job);
    const auto Pool = Summary.Pools.find(Queue.Pool.str());
    if (Pool == Summary.Pools.end())
      continue;
    const WaitingWork Work =
        this->waitingWorkOf(Job, Queue, Job.Occurrences.begin()->second, Now);
    if (Work.OverShare || !Work.CanMeetObjective)
      continue;
    overload::WorkAhead &Ahead = Pool->second.Ahead[Queue.Priority];
    if (Job.Started) {
      Ahead.Started += Work.RemainingCpuSeconds;
      continue;
    }
    Ahead.Waiting[overload::sizeBucketOf(Work.RemainingCpuSeconds)] +=
        Work.RemainingCpuSeconds;
    if (Summary.FairShares)
      Pool->second.FairWaiting[Job.Spec.Organisation.str()] +=
          Work.RemainingCpuSeconds;
  }
}

overload::LoadSummary Scheduler::loadSummary(Instant Now) const {
  const Impl &Scheduling = *this->Inner;
  overload::LoadSummary Summary{.HasIdleVms = Scheduling.HasUnusedVms,
                                .FairShares =
                                    Scheduling.Options.Policy.FairShares};
  for (const auto &[Queue, Learned] : Scheduling.RunTimeFactors)
    Summary.RunTimeFactors[Queue.str()] = Learned.Factor;
  for (const auto &[Id, Upstreams] : Scheduling.ByPool) {
    // Upstreams that have not answered may be idle.
    if (Scheduling.hasUnansweredUpstream(Id))
      continue;
    overload::PoolLoad &Pool = Summary.Pools[Id.str()];
    for (const UpstreamRecord *Each : Upstreams) {
      if (!Each->Registered || Each->Report.Draining || Each->Cordoned)
        continue;
      Resources ShortTasks = Each->Report.Capacity;
      for (const auto &[Run, Active] : Each->Runs)
        if (Active->LongRunning)
          ShortTasks -= Active->Reserved;
      Pool.Cores += double(ShortTasks.CpuMilli) / 1000;
      const Resources Free = Each->freeCapacity();
      Pool.Free.CpuMilli = std::max(Pool.Free.CpuMilli, Free.CpuMilli);
      Pool.Free.MemoryMb = std::max(Pool.Free.MemoryMb, Free.MemoryMb);
      Pool.Free.Accelerators =
          std::max(Pool.Free.Accelerators, Free.Accelerators);
      Summary.HasIdleVms |= Each->Runs.empty();
    }
  }
  Scheduling.addWorkAhead(Summary, Now);
  for (auto &[Id, Pool] : Summary.Pools) {
    double SumOfWeights = 0;
    for (const auto &[Organisation, CpuSeconds] : Pool.FairWaiting)
      SumOfWeights += Scheduling.weightOf(OrganisationId(Organisation));
    for (auto &[Organisation, CpuSeconds] : Pool.FairWaiting)
      CpuSeconds *=
          SumOfWeights / Scheduling.weightOf(OrganisationId(Organisation));
  }
  return Summary;
}

} // namespace sardinerill::site
