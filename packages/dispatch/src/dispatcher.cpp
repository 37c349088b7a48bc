#include "sardinerill/dispatch/dispatcher.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill {

namespace {

constexpr unsigned MaxTries = 3;
constexpr unsigned SlotWantsPerPump = 2;
constexpr milliseconds QueueFullRetry{500};
constexpr milliseconds DrainingRetry{1000};
/// Time after a worker's run limit until its task counts as ended.
constexpr Duration RunLimitMargin = milliseconds(500);

milliseconds toRetryAfter(Duration Wait) {
  return std::max(milliseconds(50),
                  std::chrono::duration_cast<milliseconds>(Wait));
}

} // namespace

/// One request in hand.
struct Dispatcher::Job {
  WorkRequest Request;
  Done Finished;
  TeamId Team;
  WorkClass Class;
  Instant Arrived;
  Instant LatestStart;
  std::vector<VmId> Tried;
  unsigned Tries = 0;
  /// Some try may have run; nothing said later may deny it.
  bool MayHaveRun = false;
  bool Claimed = false;
  bool Running = false;
  bool Cancelled = false;
  Instant StartedAt{};
  VmEndpoint Vm;
  UnitSource TeamUnit;
  UnitSource VmUnit;
};

/// One pool's queue and what runs of it.
struct Dispatcher::PoolState {
  PoolId Id;
  WorkQueue Queue;
  std::vector<VmId> Members;
  unsigned Slots = 0;
  std::map<TeamId, unsigned> Running;
  /// Smoothed time between two starts, for estimates of waiting.
  Duration StartGap{0};
  Instant LastStart{};
};

/// One upstream VM as this daemon knows it.
struct Dispatcher::VmRecord {
  VmHealth Health;
  unsigned Running = 0;
};

/// Loads of teams in one pool, fleet-wide.
class Dispatcher::Loads : public ITeamLoads {
public:
  Loads(const Dispatcher &Owner, const PoolState &State)
      : Owner(Owner), State(State) {}

  TeamLoad loadOf(const TeamId &Team) const override {
    TeamLoad Load;
    auto Here = this->State.Running.find(Team);
    Load.Running = Here == this->State.Running.end() ? 0 : Here->second;
    Load.Running += this->Owner.View.runningElsewhere(this->State.Id, Team);
    auto Known = this->Owner.Current->Teams.find(Team);
    if (Known == this->Owner.Current->Teams.end()) {
      Load.Blocked = Team != openTeam();
      return Load;
    }
    Load.Share = Known->second.Share;
    Load.Blocked = this->Owner.Escrow.available(resourceOf(Team)) == 0;
    return Load;
  }

private:
  const Dispatcher &Owner;
  const PoolState &State;
};

Dispatcher::Dispatcher(DispatcherOptions Options, IEscrow &Escrow,
                       IUpstreams &Upstreams, IClaims &Claims,
                       const IFleetView &View, const IClock &Clock,
                       Metrics &Figures)
    : Options(std::move(Options)), Escrow(Escrow), Upstreams(Upstreams),
      Claims(Claims), View(View), Clock(Clock), Figures(Figures),
      Random(this->Options.Seed) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setFleet(std::shared_ptr<const Fleet> Newest) {
  this->Current = std::move(Newest);
  this->Door = std::make_unique<Admission>(this->Current);
  for (auto &[Id, State] : this->Pools) {
    State.Members.clear();
    State.Slots = 0;
  }
  for (const auto &[Id, Pool] : this->Current->Pools)
    this->Pools[Id].Id = Id;
  for (const auto &[Id, Vm] : this->Current->Vms) {
    if (Vm.State != VmState::Serving)
      continue;
    PoolState &State = this->Pools[Vm.Pool];
    State.Members.push_back(Id);
    State.Slots += this->Current->Pools.at(Vm.Pool).SlotsPerVm;
    this->Vms.try_emplace(Id);
  }
  this->tick();
}

void Dispatcher::setLeaving(std::set<VmId> LeavingVms) {
  this->Leaving = std::move(LeavingVms);
}

void Dispatcher::refuse(const Done &Finished, const Error &Why) {
  this->Figures.countRefusal(Why.Kind);
  Finished(tl::unexpected(Why));
}

Result<void> Dispatcher::checkRoom(const WorkRequest &Request,
                                   const Admitted &Taken) const {
  if (this->Jobs.contains(Request.Id))
    return makeError(ErrorKind::BadRequest, "the request id is in use");
  if (this->HeldBytes + Request.Body.size() > this->Options.MaxHeldBytes)
    return makeError(ErrorKind::QueueFull, "too many bytes are held",
                     QueueFullRetry);
  auto Pool = this->Pools.find(Taken.Class.Pool);
  if (Pool == this->Pools.end() || Pool->second.Members.empty())
    return makeError(ErrorKind::NoWorkerFits, "no VM of pool \"" +
                                                  Taken.Class.Pool.str() +
                                                  "\" is in service");
  if (Pool->second.Queue.size() >= this->Options.QueueLimit)
    return makeError(
        ErrorKind::QueueFull, "the pool's queue is full",
        toRetryAfter(
            this->waitEstimate(Pool->second).value_or(QueueFullRetry)));
  auto Team = this->Current->Teams.find(Taken.Team);
  if (Team != this->Current->Teams.end() && Team->second.Ceiling == 0)
    return makeError(ErrorKind::CeilingReached,
                     "the team's ceiling is set to 0");
  return {};
}

std::optional<Duration> Dispatcher::waitEstimate(const PoolState &State) const {
  if (State.StartGap == Duration(0) || State.Queue.empty())
    return std::nullopt;
  return State.StartGap * State.Queue.size();
}

void Dispatcher::submit(WorkRequest Request, Done Finished) {
  this->Figures.count("requests_received_total");
  if (this->RefusesNew) {
    this->refuse(Finished, Error{ErrorKind::Draining, "this daemon is stopping",
                                 DrainingRetry});
    return;
  }
  if (!this->Door) {
    this->refuse(Finished,
                 Error{ErrorKind::PlatformUnavailable,
                       "no configuration has been read yet", DrainingRetry});
    return;
  }
  const Instant Now = this->Clock.now();
  const AdmissionRequest Asked{Request.Class, Request.Key,
                               Request.IdempotencyKey.has_value()};
  Result<Admitted> Taken = this->Door->admit(
      Asked, Freshness{this->View.freshSince(), this->Options.KeyGrace}, Now);
  if (!Taken) {
    this->refuse(Finished, Taken.error());
    return;
  }
  if (Result<void> Room = this->checkRoom(Request, *Taken); !Room) {
    this->refuse(Finished, Room.error());
    return;
  }
  auto Work = std::make_shared<Job>();
  Work->Request = std::move(Request);
  Work->Finished = std::move(Finished);
  Work->Team = Taken->Team;
  Work->Class = Taken->Class;
  Work->Arrived = Now;
  Work->LatestStart =
      latestStart(Now, Work->Class.Target,
                  this->Times.expected(Work->Class.Id, Work->Team));
  this->HeldBytes += Work->Request.Body.size();
  this->Jobs.emplace(Work->Request.Id, Work);
  if (Work->Class.Idempotent) {
    this->enqueue(Work);
    return;
  }
  const ClaimName Name{Work->Team, *Work->Request.IdempotencyKey};
  this->Claims.claim(Name, Work->Request.Id, [this, Work](Result<void> Claim) {
    if (!Claim) {
      this->end(Work, tl::unexpected(Claim.error()));
      return;
    }
    Work->Claimed = true;
    this->enqueue(Work);
  });
}

void Dispatcher::enqueue(const std::shared_ptr<Job> &Work) {
  if (Work->Cancelled) {
    this->end(Work, makeError(ErrorKind::CallerGone, "gone before it started"));
    return;
  }
  PoolState &State = this->Pools[Work->Class.Pool];
  State.Queue.add(QueuedWork{Work->Request.Id, Work->Team, Work->Class.Id,
                             Work->Arrived, Work->LatestStart});
  this->pump(Work->Class.Pool);
}

void Dispatcher::cancel(const RequestId &Id) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  const std::shared_ptr<Job> Work = Found->second;
  Work->Cancelled = true;
  if (Work->Running) {
    this->Upstreams.cancel(Work->Vm, Id);
    return;
  }
  if (this->Pools[Work->Class.Pool].Queue.take(Id))
    this->end(Work, makeError(ErrorKind::CallerGone, "gone before it started"));
}

void Dispatcher::resourceChanged(const ResourceId &) { this->tick(); }

void Dispatcher::tick() {
  if (!this->Current)
    return;
  // Ending work frees units and takes new work, which leads back here.
  if (this->Pumping) {
    this->PumpAgain = true;
    return;
  }
  this->Pumping = true;
  do {
    this->PumpAgain = false;
    this->releaseLapsed();
    for (auto &[Id, State] : this->Pools)
      if (!State.Queue.empty())
        this->pumpOnce(Id);
  } while (this->PumpAgain);
  this->Pumping = false;
}

void Dispatcher::pump(const PoolId &Pool) {
  if (this->Pumping) {
    this->PumpAgain = true;
    return;
  }
  this->Pumping = true;
  this->pumpOnce(Pool);
  this->Pumping = false;
  if (this->PumpAgain)
    this->tick();
}

void Dispatcher::pumpOnce(const PoolId &Pool) {
  PoolState &State = this->Pools[Pool];
  this->shedLate(State);
  while (!State.Queue.empty() && this->startNext(State)) {
  }
  if (!State.Queue.empty())
    this->wantUnits(State);
}

void Dispatcher::wantUnits(const PoolState &State) {
  for (const TeamId &Team : State.Queue.waitingTeams()) {
    const bool Limited = this->Current->Teams.contains(Team);
    if (Limited && this->Escrow.available(resourceOf(Team)) == 0)
      this->Escrow.want(
          resourceOf(Team),
          static_cast<unsigned>(State.Queue.ahead(Team, Instant::max())));
  }
  const bool HasSlot = std::any_of(
      State.Members.begin(), State.Members.end(), [&](const VmId &Vm) {
        return this->Escrow.available(resourceOf(Vm)) > 0;
      });
  if (!HasSlot)
    this->wantSlots(State);
}

void Dispatcher::shedLate(PoolState &State) {
  const Duration Wait = this->waitEstimate(State).value_or(QueueFullRetry);
  for (const QueuedWork &Late : State.Queue.shed(this->Clock.now())) {
    auto Found = this->Jobs.find(Late.Id);
    if (Found == this->Jobs.end())
      continue;
    const std::shared_ptr<Job> Work = Found->second;
    const bool AtCeiling =
        Work->Team != openTeam() &&
        this->Escrow.available(resourceOf(Work->Team)) == 0 &&
        this->Current->Teams.contains(Work->Team);
    this->end(Work, makeError(AtCeiling ? ErrorKind::CeilingReached
                                        : ErrorKind::TargetUnreachable,
                              "waited until its target could no longer be met",
                              toRetryAfter(Wait)));
  }
}

bool Dispatcher::isUsable(const VmId &Vm) const {
  return !this->Leaving.contains(Vm);
}

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
  this->end(Work, makeError(Fault.Kind, Fault.Detail, DrainingRetry));
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

std::vector<VmId> Dispatcher::busyDraining() const {
  std::vector<VmId> Busy;
  if (!this->Current)
    return Busy;
  for (const auto &[Id, Record] : this->Vms) {
    auto Known = this->Current->Vms.find(Id);
    const bool Serving = Known != this->Current->Vms.end() &&
                         Known->second.State == VmState::Serving;
    if (Record.Running > 0 && !Serving)
      Busy.push_back(Id);
  }
  return Busy;
}

bool Dispatcher::isEjected(const VmId &Vm) const {
  auto Found = this->Vms.find(Vm);
  return Found != this->Vms.end() &&
         Found->second.Health.isEjected(this->Clock.now());
}

unsigned Dispatcher::runningOn(const VmId &Vm) const {
  auto Found = this->Vms.find(Vm);
  return Found == this->Vms.end() ? 0 : Found->second.Running;
}

std::vector<LocalLoad> Dispatcher::loads() const {
  std::vector<LocalLoad> All;
  for (const auto &[Id, State] : this->Pools)
    for (const auto &[Team, Running] : State.Running)
      if (Running > 0)
        All.push_back(LocalLoad{Id, Team, Running});
  return All;
}

std::vector<PoolStatus> Dispatcher::poolStatus() const {
  std::vector<PoolStatus> All;
  const Instant Now = this->Clock.now();
  for (const auto &[Id, State] : this->Pools) {
    PoolStatus Status{Id, State.Queue.size(), 0,
                      static_cast<unsigned>(State.Members.size()), 0};
    for (const auto &[Team, Running] : State.Running)
      Status.Running += Running;
    for (const VmId &Vm : State.Members)
      Status.Ejected += this->Vms.at(Vm).Health.isEjected(Now) ? 1 : 0;
    All.push_back(Status);
  }
  return All;
}

} // namespace sardinerill
