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

double Scheduler::Impl::runnableFraction(const OrganisationId &Organisation,
                                         std::int64_t CpuMilli) const {
  const OrganisationSettings *Settings =
      this->Configuration.organisation(Organisation);
  if (!Settings || Settings->Ceiling.CpuMilli <= 0 ||
      CpuMilli <= Settings->Ceiling.CpuMilli)
    return 1.0;
  return double(Settings->Ceiling.CpuMilli) / double(CpuMilli);
}

void Scheduler::Impl::limitToCeilings(
    const std::map<OrganisationId, std::map<PoolId, std::int64_t>> &ShortTasks,
    std::map<PoolId, PoolDemand> &Demand) const {
  for (const auto &[Organisation, CpuOfPool] : ShortTasks) {
    std::int64_t Total = 0;
    for (const auto &[Pool, Cpu] : CpuOfPool)
      Total += Cpu;
    const double Excess = 1.0 - this->runnableFraction(Organisation, Total);
    for (const auto &[Pool, Cpu] : CpuOfPool)
      Demand[Pool].CpuMilli -= std::int64_t(Excess * double(Cpu));
  }
}

std::map<PoolId, PoolDemand> Scheduler::demand(Instant Now) const {
  std::map<PoolId, PoolDemand> Demand;
  /// CPU of short tasks, counted in Demand as well.
  std::map<OrganisationId, std::map<PoolId, std::int64_t>> ShortTasks;
  for (const auto &[Id, Live] : this->Inner->LiveJobs) {
    const JobRecord &Job = *Live;
    const PoolId PoolOfJob = this->Inner->queueSettingsOf(Job).Pool;
    PoolDemand &Pool = Demand[PoolOfJob];
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
          else
            ShortTasks[Job.Spec.Organisation][PoolOfJob] += Cpu;
          if (Task.Runs.empty())
            Pool.WaitingCpuMilli += Cpu;
        }
      }
    }
  }
  if (this->Inner->Options.Policy.DivideScarceVms)
    this->Inner->limitToCeilings(ShortTasks, Demand);
  for (const auto &[Queue, Estimator] : this->Inner->ArrivalRates)
    if (const QueueSettings *Settings =
            this->Inner->Configuration.queue(Queue)) {
      // Forecasts are already part of the arriving work, see addJob().
      const auto Learned = this->Inner->RunTimeFactors.find(Queue);
      const bool UseFactor = !this->Inner->Options.Policy.LearnRunTimes &&
                             Learned != this->Inner->RunTimeFactors.end();
      const double Factor = UseFactor ? Learned->second.Factor : 1.0;
      Demand[Settings->Pool].ArrivingCpuMilli += std::int64_t(
          Estimator.expected(Now, VmMoveLeadSeconds) * Factor * 1000);
    }
  return Demand;
}

} // namespace sardinerill::site
