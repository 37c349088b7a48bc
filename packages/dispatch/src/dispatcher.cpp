#include "dispatcherstate.h"

#include <algorithm>

namespace sardinerill {

namespace {

constexpr milliseconds QueueFullRetry{500};
constexpr milliseconds DrainingRetry{1000};

milliseconds toRetryAfter(Duration Wait) {
  return std::max(milliseconds(50),
                  std::chrono::duration_cast<milliseconds>(Wait));
}

} // namespace

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

Result<Admitted> Dispatcher::admitByKey(const AdmissionRequest &Request) const {
  if (!this->Door)
    return makeError(ErrorKind::PlatformUnavailable,
                     "no configuration has been read yet", DrainingRetry);
  return this->Door->admit(
      Request, Freshness{this->View.freshSince(), this->Options.KeyGrace},
      this->Clock.now());
}

Result<Admitted> Dispatcher::admit(const WorkRequest &Request) const {
  if (Request.AdmittedFor) {
    auto Class = this->Current->Classes.find(Request.Class);
    if (Class == this->Current->Classes.end())
      return makeError(ErrorKind::ClassUnknown, "the class was removed");
    return Admitted{*Request.AdmittedFor, Class->second};
  }
  Result<Admitted> Taken = this->admitByKey(AdmissionRequest{
      Request.Class, Request.Key, Request.IdempotencyKey.has_value()});
  if (Taken && Taken->Class.Deadline > milliseconds(0))
    return makeError(ErrorKind::BadRequest,
                     "the class has a deadline: send it to /v1/jobs/");
  return Taken;
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
  Result<Admitted> Taken = this->admit(Request);
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
      latestStart(Now, Work->Request.FinishWithin.value_or(Work->Class.Target),
                  this->Times.expected(Work->Class.Id, Work->Team));
  this->HeldBytes += Work->Request.Body.size();
  this->Jobs.emplace(Work->Request.Id, Work);
  if (Work->Class.Idempotent || Work->Request.AdmittedFor) {
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

std::optional<bool> Dispatcher::isIdempotent(const ClassId &Class) const {
  if (!this->Current)
    return std::nullopt;
  auto Found = this->Current->Classes.find(Class);
  if (Found == this->Current->Classes.end())
    return std::nullopt;
  return Found->second.Idempotent;
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
