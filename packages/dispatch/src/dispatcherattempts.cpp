#include "dispatcherstate.h"
#include "sardinerill/base/logging.h"

#include <algorithm>

/// \file
/// Attempts of requests on upstream VMs: start, completion and retry.

namespace sardinerill {

namespace {

constexpr unsigned MaxAttempts = 3;
/// Number of VMs, drawn at random, that a slot is requested for in each
/// dispatch of a pool without a free slot. The same VM can be drawn twice.
constexpr unsigned SlotRequestsPerPass = 2;
constexpr milliseconds FailureRetryAfter{1000};
/// Time after the run limit, counted from the start of the attempt, at which a
/// task is regarded as ended. The start of the attempt precedes connecting.
constexpr Duration RunLimitMargin = milliseconds(500);

} // namespace

std::optional<VmId> Dispatcher::chooseVmFor(const PoolState &State,
                                            const PendingWork &Work) {
  std::vector<VmCandidate> Candidates;
  Candidates.reserve(State.ServingVms.size());
  for (const VmId &Id : State.ServingVms) {
    if (!this->isNotLeaving(Id))
      continue;
    const VmRecord &Record = this->Vms.at(Id);
    Candidates.push_back(
        VmCandidate{Id, this->Escrow.available(resourceOf(Id)), Record.Running,
                    this->CurrentFleet->Vms.at(Id).Zone == this->Options.Zone,
                    &Record.Health});
  }
  const Instant Now = this->Clock.now();
  std::optional<VmId> UntriedVm =
      selectVm(Candidates, Work.TriedVms, Now, this->Random);
  // No untried VM is available: another attempt on a tried one is better than
  // none.
  return UntriedVm ? UntriedVm : selectVm(Candidates, {}, Now, this->Random);
}

void Dispatcher::requestVmSlots(const PoolState &State) {
  std::vector<VmId> Usable;
  const Instant Now = this->Clock.now();
  for (const VmId &Id : State.ServingVms)
    if (this->isNotLeaving(Id) && this->Vms.at(Id).Health.isAvailable(Now))
      Usable.push_back(Id);
  if (Usable.empty())
    Usable = State.ServingVms;
  for (unsigned Draw = 0; Draw < SlotRequestsPerPass && !Usable.empty(); ++Draw)
    this->Escrow.requestUnits(
        resourceOf(Usable[this->Random() % Usable.size()]), 1);
}

bool Dispatcher::startNext(PoolState &State) {
  const PoolTeamLoads Loads(*this, State);
  const std::optional<QueuedWork> Next =
      State.Queue.peekNext(Loads, State.TotalSlots);
  if (!Next)
    return false;
  const std::shared_ptr<PendingWork> Work = this->Pending.at(Next->Id);
  const std::optional<VmId> Vm = this->chooseVmFor(State, *Work);
  if (!Vm)
    return false;
  UnitSource TeamUnit;
  if (Work->Team != anonymousTeam()) {
    std::optional<UnitSource> Acquired =
        this->Escrow.tryAcquire(resourceOf(Work->Team));
    if (!Acquired)
      return false;
    TeamUnit = *Acquired;
  }
  std::optional<UnitSource> VmUnit = this->Escrow.tryAcquire(resourceOf(*Vm));
  if (!VmUnit) {
    if (Work->Team != anonymousTeam())
      this->Escrow.release(resourceOf(Work->Team), TeamUnit);
    return false;
  }
  State.Queue.remove(Next->Id);
  this->start(Work, *Vm, TeamUnit, *VmUnit);
  return true;
}

void Dispatcher::start(const std::shared_ptr<PendingWork> &Work, const VmId &Vm,
                       const UnitSource &TeamUnit, const UnitSource &VmUnit) {
  const Instant Now = this->Clock.now();
  const sardinerill::Vm &Target = this->CurrentFleet->Vms.at(Vm);
  Work->Running = true;
  Work->StartedAt = Now;
  Work->Vm = VmEndpoint{Vm, Target.Address, Target.Port};
  Work->TeamUnit = TeamUnit;
  Work->VmUnit = VmUnit;
  VmRecord &Record = this->Vms[Vm];
  ++Record.Running;
  Record.Health.recordSent(Now);
  PoolState &State = this->Pools[Work->Class.Pool];
  ++State.RunningByTeam[Work->Team];
  const Duration Interval = Now - State.LastStartAt;
  // Exponential moving average with a weight of 1/8. Intervals are cut off at
  // 1 s, so that an idle period doesn't dominate the average.
  State.AverageStartInterval = (State.AverageStartInterval * 7 +
                                std::min<Duration>(Interval, seconds(1))) /
                               8;
  State.LastStartAt = Now;
  if (Work->Attempts++ == 0) {
    this->Budget.recordFirstAttempt();
    this->Stats.observe("queue_wait_ms", Work->Class.Id.str(),
                        Now - Work->ArrivedAt);
  }
  this->Stats.count("tries_total");
  Work->TriedVms.push_back(Vm);
  UpstreamRequest Attempt{.Id = Work->Request.Id,
                          .Vm = Work->Vm,
                          .Class = Work->Class.Id,
                          .ContentType = Work->Request.ContentType,
                          .TraceParent = Work->Request.TraceParent,
                          .Body = Work->Request.Body,
                          .RunLimit = Work->Class.RunLimit,
                          .RequireNewConnection = !Work->Class.Idempotent};
  this->Upstreams.send(std::move(Attempt),
                       [this, Work](UpstreamOutcome Outcome) {
                         this->finishAttempt(Work, std::move(Outcome));
                       });
}

void Dispatcher::releaseOrHoldUnits(PendingWork &Work, bool TaskIsNotRunning) {
  Work.Running = false;
  if (!TaskIsNotRunning) {
    this->UnconfirmedTasks.push_back(UnconfirmedTask{
        Work.StartedAt + Work.Class.RunLimit + RunLimitMargin, Work.Team,
        Work.Class.Pool, Work.Vm.Id, Work.TeamUnit, Work.VmUnit});
    return;
  }
  --this->Vms[Work.Vm.Id].Running;
  --this->Pools[Work.Class.Pool].RunningByTeam[Work.Team];
  this->Escrow.release(resourceOf(Work.Vm.Id), Work.VmUnit);
  if (Work.Team != anonymousTeam())
    this->Escrow.release(resourceOf(Work.Team), Work.TeamUnit);
}

void Dispatcher::releaseUnconfirmedTasks() {
  const Instant Now = this->Clock.now();
  std::vector<UnconfirmedTask> Expired;
  std::erase_if(this->UnconfirmedTasks, [&](const UnconfirmedTask &Entry) {
    if (Entry.ReleaseAt > Now)
      return false;
    Expired.push_back(Entry);
    return true;
  });
  for (const UnconfirmedTask &Entry : Expired) {
    --this->Vms[Entry.Vm].Running;
    --this->Pools[Entry.Pool].RunningByTeam[Entry.Team];
    this->Escrow.release(resourceOf(Entry.Vm), Entry.VmUnit);
    if (Entry.Team != anonymousTeam())
      this->Escrow.release(resourceOf(Entry.Team), Entry.TeamUnit);
  }
}

void Dispatcher::finishAttempt(const std::shared_ptr<PendingWork> &Work,
                               UpstreamOutcome Outcome) {
  const Instant Now = this->Clock.now();
  VmHealth &Health = this->Vms[Work->Vm.Id].Health;
  if (Outcome) {
    Health.record(AttemptOutcome::Succeeded, Now);
    this->MeasuredRunTimes.record(Work->Class.Id, Work->Team,
                                  Now - Work->StartedAt);
    Outcome->Vm = Work->Vm.Id;
    this->complete(Work, std::move(*Outcome));
    return;
  }
  const UpstreamFailure &Failure = Outcome.error();
  // The failure of a cancelled attempt says nothing about the VM's health.
  if (!Work->Cancelled)
    Health.record(AttemptOutcome::Failed, Now);
  Work->MayHaveRun = Work->MayHaveRun || Failure.mayHaveRun();
  this->releaseOrHoldUnits(*Work,
                           Failure.TaskIsNotRunning || !Failure.mayHaveRun());
  if (this->tryRetry(Work, Failure))
    return;
  this->complete(Work,
                 makeError(Failure.Kind, Failure.Detail, FailureRetryAfter));
}

bool Dispatcher::tryRetry(const std::shared_ptr<PendingWork> &Work,
                          const UpstreamFailure &Failure) {
  const bool Allowed = Work->Class.Idempotent || !Failure.mayHaveRun();
  if (!Allowed || Work->Cancelled || Work->Attempts >= MaxAttempts ||
      this->Clock.now() > Work->LatestStart)
    return false;
  if (!this->Budget.tryConsume()) {
    this->Stats.count("retries_over_budget_total");
    return false;
  }
  this->Stats.countRetry(Failure.Reason);
  logEvent(LogLevel::Info, "work.retried",
           {{"request", Work->Request.Id.str()},
            {"vm", Work->Vm.Id.str()},
            {"reason", std::string(toString(Failure.Reason))}});
  this->enqueue(Work);
  return true;
}

void Dispatcher::complete(const std::shared_ptr<PendingWork> &Work,
                          Result<WorkResponse> Outcome) {
  if (Work->Running)
    this->releaseOrHoldUnits(*Work, true);
  this->PendingBodyBytes -= Work->Request.Body.size();
  this->Pending.erase(Work->Request.Id);
  const Duration Elapsed = this->Clock.now() - Work->ArrivedAt;
  if (Outcome) {
    this->Stats.count("requests_answered_total");
    this->Stats.observe("answer_ms", Work->Class.Id.str(), Elapsed);
    if (Elapsed > Work->Class.Target)
      this->Stats.count("targets_missed_total");
    Work->OnDone(std::move(Outcome));
  } else {
    Error Failure = Outcome.error();
    // Report UpstreamFailed if the last attempt did not run but an earlier one
    // may have, because the other kind would mean that the request did not run.
    if (Work->MayHaveRun &&
        errorResponseFor(Failure.Kind).Execution == ExecutionState::DidNotRun)
      Failure.Kind = ErrorKind::UpstreamFailed;
    if (Work->Claimed && !Work->MayHaveRun)
      this->Claims.release({Work->Team, *Work->Request.IdempotencyKey},
                           Work->Request.Id);
    this->reportError(Work->OnDone, Failure);
  }
  this->tick();
}

} // namespace sardinerill
