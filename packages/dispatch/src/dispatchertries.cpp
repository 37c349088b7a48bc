#include "dispatcherstate.h"
#include "sardinerill/base/logging.h"

#include <algorithm>

/// \file
/// Tries of work on upstream VMs: their start, their end and what follows.

namespace sardinerill {

namespace {

constexpr unsigned MaxTries = 3;
constexpr unsigned SlotWantsPerPump = 2;
constexpr milliseconds FailureRetry{1000};
/// Time after a worker's run limit until its task counts as ended.
constexpr Duration RunLimitMargin = milliseconds(500);

} // namespace

std::optional<VmId> Dispatcher::chooseFor(const PoolState &State,
                                          const Job &Work) {
  std::vector<VmCandidate> Candidates;
  Candidates.reserve(State.Members.size());
  for (const VmId &Id : State.Members) {
    if (!this->isUsable(Id))
      continue;
    const VmRecord &Record = this->Vms.at(Id);
    Candidates.push_back(VmCandidate{
        Id, this->Escrow.available(resourceOf(Id)), Record.Running,
        this->Current->Vms.at(Id).Zone == this->Options.Zone, &Record.Health});
  }
  const Instant Now = this->Clock.now();
  std::optional<VmId> Other =
      chooseVm(Candidates, Work.Tried, Now, this->Random);
  // Better the same VM again than none.
  return Other ? Other : chooseVm(Candidates, {}, Now, this->Random);
}

void Dispatcher::wantSlots(const PoolState &State) {
  std::vector<VmId> Usable;
  const Instant Now = this->Clock.now();
  for (const VmId &Id : State.Members)
    if (this->isUsable(Id) && this->Vms.at(Id).Health.mayTry(Now))
      Usable.push_back(Id);
  if (Usable.empty())
    Usable = State.Members;
  for (unsigned Try = 0; Try < SlotWantsPerPump && !Usable.empty(); ++Try)
    this->Escrow.want(resourceOf(Usable[this->Random() % Usable.size()]), 1);
}

bool Dispatcher::startNext(PoolState &State) {
  const Loads Known(*this, State);
  const std::optional<QueuedWork> Next = State.Queue.pick(Known, State.Slots);
  if (!Next)
    return false;
  const std::shared_ptr<Job> Work = this->Jobs.at(Next->Id);
  const std::optional<VmId> Vm = this->chooseFor(State, *Work);
  if (!Vm)
    return false;
  UnitSource TeamUnit;
  if (Work->Team != openTeam()) {
    std::optional<UnitSource> Taken =
        this->Escrow.tryStart(resourceOf(Work->Team));
    if (!Taken)
      return false;
    TeamUnit = *Taken;
  }
  std::optional<UnitSource> VmUnit = this->Escrow.tryStart(resourceOf(*Vm));
  if (!VmUnit) {
    if (Work->Team != openTeam())
      this->Escrow.finish(resourceOf(Work->Team), TeamUnit);
    return false;
  }
  State.Queue.take(Next->Id);
  this->start(Work, *Vm, TeamUnit, *VmUnit);
  return true;
}

void Dispatcher::start(const std::shared_ptr<Job> &Work, const VmId &Vm,
                       const UnitSource &TeamUnit, const UnitSource &VmUnit) {
  const Instant Now = this->Clock.now();
  const sardinerill::Vm &Target = this->Current->Vms.at(Vm);
  Work->Running = true;
  Work->StartedAt = Now;
  Work->Vm = VmEndpoint{Vm, Target.Address, Target.Port};
  Work->TeamUnit = TeamUnit;
  Work->VmUnit = VmUnit;
  VmRecord &Record = this->Vms[Vm];
  ++Record.Running;
  Record.Health.beginProbe(Now);
  PoolState &State = this->Pools[Work->Class.Pool];
  ++State.Running[Work->Team];
  const Duration Gap = Now - State.LastStart;
  State.StartGap =
      (State.StartGap * 7 + std::min<Duration>(Gap, seconds(1))) / 8;
  State.LastStart = Now;
  if (Work->Tries++ == 0) {
    this->Budget.recordFirstTry();
    this->Figures.observe("queue_wait_ms", Work->Class.Id.str(),
                          Now - Work->Arrived);
  }
  this->Figures.count("tries_total");
  Work->Tried.push_back(Vm);
  UpstreamRequest Try{.Id = Work->Request.Id,
                      .Vm = Work->Vm,
                      .Class = Work->Class.Id,
                      .ContentType = Work->Request.ContentType,
                      .TraceParent = Work->Request.TraceParent,
                      .Body = Work->Request.Body,
                      .RunLimit = Work->Class.MaxRun,
                      .FreshConnection = !Work->Class.Idempotent};
  this->Upstreams.send(std::move(Try), [this, Work](UpstreamOutcome Outcome) {
    this->finishTry(Work, std::move(Outcome));
  });
}

void Dispatcher::releaseUnits(Job &Work, bool Ended) {
  Work.Running = false;
  if (!Ended) {
    this->Unsettled.push_back(
        Lapsing{Work.StartedAt + Work.Class.MaxRun + RunLimitMargin, Work.Team,
                Work.Class.Pool, Work.Vm.Id, Work.TeamUnit, Work.VmUnit});
    return;
  }
  --this->Vms[Work.Vm.Id].Running;
  --this->Pools[Work.Class.Pool].Running[Work.Team];
  this->Escrow.finish(resourceOf(Work.Vm.Id), Work.VmUnit);
  if (Work.Team != openTeam())
    this->Escrow.finish(resourceOf(Work.Team), Work.TeamUnit);
}

void Dispatcher::releaseLapsed() {
  const Instant Now = this->Clock.now();
  std::vector<Lapsing> Over;
  std::erase_if(this->Unsettled, [&](const Lapsing &Entry) {
    if (Entry.At > Now)
      return false;
    Over.push_back(Entry);
    return true;
  });
  for (const Lapsing &Entry : Over) {
    --this->Vms[Entry.Vm].Running;
    --this->Pools[Entry.Pool].Running[Entry.Team];
    this->Escrow.finish(resourceOf(Entry.Vm), Entry.VmUnit);
    if (Entry.Team != openTeam())
      this->Escrow.finish(resourceOf(Entry.Team), Entry.TeamUnit);
  }
}

void Dispatcher::finishTry(const std::shared_ptr<Job> &Work,
                           UpstreamOutcome Outcome) {
  const Instant Now = this->Clock.now();
  VmHealth &Health = this->Vms[Work->Vm.Id].Health;
  if (Outcome) {
    Health.record(TryOutcome::Answered, Now);
    this->Times.record(Work->Class.Id, Work->Team, Now - Work->StartedAt);
    Outcome->RanOn = Work->Vm.Id;
    this->end(Work, std::move(*Outcome));
    return;
  }
  const UpstreamFault &Fault = Outcome.error();
  if (!Work->Cancelled)
    Health.record(TryOutcome::Failed, Now);
  Work->MayHaveRun = Work->MayHaveRun || Fault.mayHaveRun();
  this->releaseUnits(*Work, Fault.HasEnded || !Fault.mayHaveRun());
  if (this->retry(Work, Fault))
    return;
  this->end(Work, makeError(Fault.Kind, Fault.Detail, FailureRetry));
}

bool Dispatcher::retry(const std::shared_ptr<Job> &Work,
                       const UpstreamFault &Fault) {
  const bool Allowed = Work->Class.Idempotent || !Fault.mayHaveRun();
  if (!Allowed || Work->Cancelled || Work->Tries >= MaxTries ||
      this->Clock.now() > Work->LatestStart)
    return false;
  if (!this->Budget.takeRetry()) {
    this->Figures.count("retries_over_budget_total");
    return false;
  }
  this->Figures.countRetry(Fault.Reason);
  logEvent(LogLevel::Info, "work.retried",
           {{"request", Work->Request.Id.str()},
            {"vm", Work->Vm.Id.str()},
            {"reason", std::string(toString(Fault.Reason))}});
  this->enqueue(Work);
  return true;
}

void Dispatcher::end(const std::shared_ptr<Job> &Work,
                     Result<WorkAnswer> Outcome) {
  if (Work->Running)
    this->releaseUnits(*Work, true);
  this->HeldBytes -= Work->Request.Body.size();
  this->Jobs.erase(Work->Request.Id);
  const Duration Took = this->Clock.now() - Work->Arrived;
  if (Outcome) {
    this->Figures.count("requests_answered_total");
    this->Figures.observe("answer_ms", Work->Class.Id.str(), Took);
    if (Took > Work->Class.Target)
      this->Figures.count("targets_missed_total");
    Work->Finished(std::move(Outcome));
  } else {
    Error Why = Outcome.error();
    // A try before the last may have run even if the last one did not.
    if (Work->MayHaveRun && answerFor(Why.Kind).Ran == RanState::DidNotRun)
      Why.Kind = ErrorKind::UpstreamFailed;
    if (Work->Claimed && !Work->MayHaveRun)
      this->Claims.release({Work->Team, *Work->Request.IdempotencyKey},
                           Work->Request.Id);
    this->refuse(Work->Finished, Why);
  }
  this->tick();
}

} // namespace sardinerill
