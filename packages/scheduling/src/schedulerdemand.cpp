#include "jobgraph.h"
#include "placement.h"
#include "schedulerstate.h"

#include <algorithm>

/// \file
/// Demand of each pool, as input of the pool planner.

namespace sardinerill::site {

namespace {

/// Weight in the demand of the CPU of work that is late or exceeds its
/// organisation's share, so that pools with work that can still be in time get
/// VMs first. A late job is worth a tenth of one that is in time.
constexpr double LateWorkWeight = 0.2;
/// Time from the selection of a VM until it runs tasks in its new pool: the
/// move (1.5 s), its registration, and the polling intervals of the VM list and
/// the registry.
constexpr double VmMoveLeadSeconds = 2.2;

} // namespace

double Scheduler::Impl::demandWeight(const JobRecord &Job,
                                     const OccurrenceRecord &Occurrence,
                                     Instant Now) const {
  const WaitingWork Work =
      this->waitingWorkOf(Job, this->queueSettingsOf(Job), Occurrence, Now);
  return Work.CanMeetObjective && !Work.OverShare ? 1.0 : LateWorkWeight;
}

std::map<PoolId, PoolDemand> Scheduler::demand(Instant Now) const {
  std::map<PoolId, PoolDemand> Demand;
  for (const JobId &Id : this->Inner->LiveJobs) {
    const JobRecord &Job = *this->Inner->Jobs.at(Id);
    PoolDemand &Pool = Demand[this->Inner->queueSettingsOf(Job).Pool];
    const bool LongRunning = hasLongRunningStep(Job.Spec);
    for (const auto &[Number, Occurrence] : Job.Occurrences) {
      const double Weight =
          LongRunning ? 1.0 : this->Inner->demandWeight(Job, Occurrence, Now);
      for (std::size_t Step = 0; Step < Occurrence.Steps.size(); ++Step) {
        if (!isReady(Job.Spec, Occurrence, int(Step)))
          continue;
        const StepSpec &Spec = Job.Spec.Steps[Step];
        const auto Cpu =
            std::int64_t(Weight * double(reservedResources(Spec).CpuMilli));
        if (Spec.LongRunning && Spec.MaxPerUpstream > 0)
          Pool.MinVmsForSpread = std::max(
              Pool.MinVmsForSpread,
              (Spec.Count + Spec.MaxPerUpstream - 1) / Spec.MaxPerUpstream);
        for (const TaskRecord &Task : Occurrence.Steps[Step].Tasks) {
          if (Task.Done)
            continue;
          Pool.CpuMilli += Cpu;
          if (LongRunning)
            Pool.LongRunningCpuMilli += Cpu;
          if (Task.Runs.empty())
            Pool.WaitingCpuMilli += Cpu;
        }
      }
    }
  }
  for (const auto &[Queue, Estimator] : this->Inner->ArrivalRates)
    if (const QueueSettings *Settings =
            this->Inner->Configuration.queue(Queue)) {
      const auto Learned = this->Inner->RunTimeFactors.find(Queue);
      const double Factor = Learned == this->Inner->RunTimeFactors.end()
                                ? 1.0
                                : Learned->second.Factor;
      Demand[Settings->Pool].ArrivingCpuMilli += std::int64_t(
          Estimator.expected(Now, VmMoveLeadSeconds) * Factor * 1000);
    }
  return Demand;
}

} // namespace sardinerill::site
