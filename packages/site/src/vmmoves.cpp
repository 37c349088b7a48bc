#include "vmcoordinator.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

/// \file
/// Moves of VMs between pools.

namespace sardinerill::site {

namespace {

constexpr milliseconds CommandTimeout{1500};
/// A VM whose move was accepted is listed as moving within this time. If not,
/// the move is considered not carried out.
constexpr milliseconds MaxListingDelay{1200};

constexpr seconds PoolLogInterval{1};

} // namespace

bool VmCoordinator::isInActiveWave(const VmId &Vm) const {
  return std::ranges::any_of(this->Waves, [&](const auto &Entry) {
    const auto Found = Entry.second.Vms.find(Vm);
    return Found != Entry.second.Vms.end() &&
           (Found->second.Stage == WaveStage::Preparing ||
            Found->second.Stage == WaveStage::RebootRequested);
  });
}

std::vector<PoolView> VmCoordinator::poolViews() const {
  const Instant Now = this->Deps.Clock.now();
  std::map<PoolId, PoolView> Views;
  for (const auto &[Id, Pool] : this->Configuration.Pools)
    Views[Id] = {.Id = Id, .Standby = Pool.Standby};
  for (const VmRecord &Vm : this->Vms) {
    const auto Pool = Views.find(Vm.Pool);
    if (Pool == Views.end())
      continue;
    // Nothing may be started on it, so that the pool needs others.
    if (this->Deps.Evacuations.isEvacuated(Vm.Zone))
      continue;
    const auto Move = this->Moves.find(Vm.Id);
    const bool Moving = Move != this->Moves.end() && Move->second.CommandSent;
    if (Moving || Vm.State == VmState::Moving) {
      const PoolId To = Moving ? Move->second.To : Vm.Pool;
      if (const auto Target = Views.find(To); Target != Views.end())
        ++Target->second.IncomingVms;
      continue;
    }
    const UpstreamLoad Load = this->Deps.JobScheduler.loadOf(Vm.Upstream, Now);
    const bool LoadKnown = Load.Fresh || this->isStandby(Vm.Pool);
    const bool InActiveWave = this->isInActiveWave(Vm.Id);
    Pool->second.MaintenanceDue += this->isMaintenanceDue(Vm.Id);
    Pool->second.Vms.push_back({.Id = Vm.Id,
                                .Up = Vm.State == VmState::Up && !InActiveWave,
                                .Movable = !InActiveWave && LoadKnown,
                                .Leaving = Move != this->Moves.end(),
                                .Runs = Load.Runs,
                                .LongRunningTasks = Load.LongRunningTasks,
                                .UsedCpuMilli = Load.Used.CpuMilli});
  }
  for (const auto &[Id, Demand] : this->Deps.JobScheduler.demand(Now))
    if (const auto Pool = Views.find(Id); Pool != Views.end()) {
      Pool->second.DemandCpuMilli = Demand.expected();
      Pool->second.MinVmsForSpread = Demand.MinVmsForSpread;
    }
  std::vector<PoolView> List;
  List.reserve(Views.size());
  for (auto &[Id, View] : Views)
    List.push_back(std::move(View));
  return List;
}

void VmCoordinator::cancelEvacuatedDrains() {
  std::erase_if(this->Moves, [&](const auto &Entry) {
    const VmRecord *Vm = this->findVm(Entry.first);
    if (!Vm || Entry.second.CommandSent ||
        !this->Deps.Evacuations.isEvacuated(Vm->Zone))
      return false;
    this->Deps.JobScheduler.cordon(Entry.second.Upstream, false);
    return true;
  });
}

void VmCoordinator::updateMoves() {
  const Instant Now = this->Deps.Clock.now();
  for (auto Entry = this->Moves.begin(); Entry != this->Moves.end();)
    Entry = this->updateMove(Entry->first, Entry->second, Now)
                ? this->Moves.erase(Entry)
                : std::next(Entry);
}

bool VmCoordinator::updateMove(const VmId &Id, MoveProgress &Move,
                               Instant Now) {
  const VmRecord *Vm = this->findVm(Id);
  if (!Vm)
    return true; // The VM was removed from the site.
  if (!Move.CommandSent)
    return false;
  const bool OtherIncarnation =
      !Vm->Upstream.empty() && Vm->Upstream != Move.Upstream;
  const bool MoveBegun =
      Vm->State != VmState::Up || OtherIncarnation || Vm->Pool == Move.To;
  if (MoveBegun && !Move.MoveSeen) {
    Move.MoveSeen = true;
    this->Deps.JobScheduler.retireUpstream(Move.Upstream, "its VM was moved",
                                           Now);
    this->Deps.SchedulingEvent.notify();
  }
  const bool Arrived = Vm->State == VmState::Up && Vm->Pool == Move.To;
  const bool Overdue = Move.Confirmed && !Move.MoveSeen &&
                       Now - Move.StageSince > MaxListingDelay;
  if (Overdue)
    this->Deps.JobScheduler.cordon(Vm->Upstream, false);
  return Arrived || Overdue;
}

void VmCoordinator::logPools(const PoolPlan &Plan, Instant Now) {
  if (Now < this->NextPoolLog)
    return;
  this->NextPoolLog = Now + PoolLogInterval;
  for (const PoolView &Pool : this->poolViews()) {
    int Accepting = 0;
    int Empty = 0;
    int Pinned = 0;
    for (const PoolVm &Vm : Pool.Vms) {
      Accepting += Vm.Up && !Vm.Leaving;
      Empty += Vm.Up && Vm.Runs == 0;
      Pinned += Vm.LongRunningTasks > 0;
    }
    const auto Target = Plan.Targets.find(Pool.Id);
    logEvent(
        LogLevel::Info, "pool.state",
        {{"pool", Pool.Id.str()},
         {"target",
          std::to_string(Target == Plan.Targets.end() ? 0 : Target->second)},
         {"scarce", Plan.Scarce ? "yes" : "no"},
         {"vms", std::to_string(Pool.Vms.size())},
         {"taking", std::to_string(Accepting)},
         {"empty", std::to_string(Empty)},
         {"pinned", std::to_string(Pinned)},
         {"arriving", std::to_string(Pool.IncomingVms)},
         {"demand_cpu_milli", std::to_string(Pool.DemandCpuMilli)}});
  }
}

Async<void> VmCoordinator::moveVmsBetweenPools() {
  const Instant Now = this->Deps.Clock.now();
  this->cancelEvacuatedDrains();
  std::int64_t CpuMilliOfVm = 0;
  for (const VmRecord &Vm : this->Vms)
    CpuMilliOfVm = std::max(CpuMilliOfVm, Vm.Capacity.CpuMilli);
  const PoolPlan Plan =
      planPools(this->poolViews(), this->PoolDemandAverages,
                {.CpuMilliOfVm = CpuMilliOfVm,
                 .DivideScarceVms = this->Deps.Settings.Policy.DivideScarceVms},
                Now);
  this->VmsAreScarce = Plan.Scarce;
  this->logPools(Plan, Now);
  for (const VmId &Id : Plan.CancelDrain) {
    this->Moves.erase(Id);
    if (const VmRecord *Vm = this->findVm(Id))
      this->Deps.JobScheduler.cordon(Vm->Upstream, false);
  }
  for (const VmId &Id : Plan.Drain)
    if (const VmRecord *Vm = this->findVm(Id)) {
      this->Moves[Id] = {.Upstream = Vm->Upstream, .StageSince = Now};
      this->Deps.JobScheduler.cordon(Vm->Upstream, true);
    }
  for (const PoolMove &PlannedMove : Plan.Moves) {
    const VmRecord *Vm = this->findVm(PlannedMove.Vm);
    if (!Vm || this->Deps.JobScheduler.loadOf(Vm->Upstream, Now).Runs > 0)
      continue; // A task was started there meanwhile.
    this->Deps.JobScheduler.cordon(Vm->Upstream, true);
    this->Moves[PlannedMove.Vm] = {.To = PlannedMove.To,
                                   .Upstream = Vm->Upstream,
                                   .StageSince = Now,
                                   .CommandSent = true};
    spawn(this->Deps.Executor, "vm-move",
          [this, Self = this->shared_from_this(), Id = PlannedMove.Vm] {
            return this->moveVm(Id);
          });
  }
  // A command without an answer is sent again; the VM control executes it only
  // once.
  for (auto &[Id, Move] : this->Moves) {
    const bool Unconfirmed = Move.CommandSent && !Move.Confirmed &&
                             Now - Move.StageSince > 2 * CommandTimeout;
    if (!Unconfirmed)
      continue;
    Move.StageSince = Now;
    spawn(this->Deps.Executor, "vm-move",
          [this, Self = this->shared_from_this(), Id = Id] {
            return this->moveVm(Id);
          });
  }
  co_return;
}

Async<void> VmCoordinator::moveVm(VmId Id) {
  const auto Found = this->Moves.find(Id);
  if (Found == this->Moves.end() || !this->mayCommandVms())
    co_return;
  const PoolId To = Found->second.To;
  const VmCommandOutcome Outcome =
      co_await this->Deps.Vms.move(Id, To, this->issuer(), CommandTimeout);
  if (this->Stopped)
    co_return;
  logEvent(LogLevel::Info, "vm.move",
           {{"vm", Id.str()},
            {"to", To.str()},
            {"outcome", std::to_string(static_cast<int>(Outcome))}});
  const auto Move = this->Moves.find(Id);
  if (Move == this->Moves.end() || Outcome == VmCommandOutcome::Unknown)
    co_return;
  if (Outcome == VmCommandOutcome::Accepted) {
    Move->second.Confirmed = true;
    Move->second.StageSince = this->Deps.Clock.now();
    co_return;
  }
  this->Deps.JobScheduler.cordon(Move->second.Upstream, false);
  this->Moves.erase(Move);
}

} // namespace sardinerill::site
