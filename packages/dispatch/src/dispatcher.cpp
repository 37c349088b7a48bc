#include "dispatcherstate.h"

#include <algorithm>

namespace sardinerill {

namespace {

constexpr milliseconds DefaultRetryAfter{500};
constexpr milliseconds UnavailableRetryAfter{1000};

milliseconds toRetryAfter(Duration Wait) {
  return std::max(milliseconds(50),
                  std::chrono::duration_cast<milliseconds>(Wait));
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions Options, IEscrow &Escrow,
                       IUpstreams &Upstreams, IClaims &Claims,
                       const IFleetView &View, const IClock &Clock,
                       Metrics &Stats)
    : Options(std::move(Options)), Escrow(Escrow), Upstreams(Upstreams),
      Claims(Claims), View(View), Clock(Clock), Stats(Stats),
      Random(this->Options.Seed) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setFleet(std::shared_ptr<const Fleet> NewFleet) {
  this->CurrentFleet = std::move(NewFleet);
  this->CurrentAdmission = std::make_unique<Admission>(this->CurrentFleet);
  for (auto &[Id, State] : this->Pools) {
    State.ServingVms.clear();
    State.TotalSlots = 0;
  }
  for (const auto &[Id, Pool] : this->CurrentFleet->Pools)
    this->Pools[Id].Id = Id;
  for (const auto &[Id, Vm] : this->CurrentFleet->Vms) {
    if (Vm.State != VmState::Serving)
      continue;
    PoolState &State = this->Pools[Vm.Pool];
    State.ServingVms.push_back(Id);
    State.TotalSlots += this->CurrentFleet->Pools.at(Vm.Pool).SlotsPerVm;
    this->Vms.try_emplace(Id);
  }
  this->tick();
}

void Dispatcher::setLeaving(std::set<VmId> LeavingVms) {
  this->Leaving = std::move(LeavingVms);
}

void Dispatcher::reportError(const Callback &OnDone, const Error &Cause) {
  this->Stats.countRefusal(Cause.Kind);
  OnDone(tl::unexpected(Cause));
}

Result<void>
Dispatcher::checkAcceptable(const WorkRequest &Request,
                            const AdmittedRequest &Admitted) const {
  if (this->Pending.contains(Request.Id))
    return makeError(ErrorKind::BadRequest, "the request id is in use");
  if (this->PendingBodyBytes + Request.Body.size() > this->Options.MaxHeldBytes)
    return makeError(ErrorKind::QueueFull, "too many bytes are held",
                     DefaultRetryAfter);
  auto Pool = this->Pools.find(Admitted.Class.Pool);
  if (Pool == this->Pools.end() || Pool->second.ServingVms.empty())
    return makeError(ErrorKind::NoWorkerFits, "no VM of pool \"" +
                                                  Admitted.Class.Pool.str() +
                                                  "\" is in service");
  if (Pool->second.Queue.size() >= this->Options.QueueLimit)
    return makeError(
        ErrorKind::QueueFull, "the pool's queue is full",
        toRetryAfter(
            this->estimateWait(Pool->second).value_or(DefaultRetryAfter)));
  auto Team = this->CurrentFleet->Teams.find(Admitted.Team);
  if (Team != this->CurrentFleet->Teams.end() && Team->second.Ceiling == 0)
    return makeError(ErrorKind::CeilingReached,
                     "the team's ceiling is set to 0");
  return {};
}

std::optional<Duration> Dispatcher::estimateWait(const PoolState &State) const {
  if (State.AverageStartInterval == Duration(0) || State.Queue.empty())
    return std::nullopt;
  return State.AverageStartInterval * State.Queue.size();
}

Result<AdmittedRequest>
Dispatcher::admitByKey(const AdmissionRequest &Request) const {
  if (!this->CurrentAdmission)
    return makeError(ErrorKind::PlatformUnavailable,
                     "no configuration has been read yet",
                     UnavailableRetryAfter);
  return this->CurrentAdmission->admit(
      Request,
      ConfigurationProof{this->View.confirmedNewestAt(),
                         this->Options.KeyGrace},
      this->Clock.now());
}

Result<AdmittedRequest> Dispatcher::admit(const WorkRequest &Request) const {
  if (Request.AdmittedTeam) {
    auto Class = this->CurrentFleet->Classes.find(Request.Class);
    if (Class == this->CurrentFleet->Classes.end())
      return makeError(ErrorKind::ClassUnknown, "the class was removed");
    return AdmittedRequest{*Request.AdmittedTeam, Class->second};
  }
  Result<AdmittedRequest> Admitted = this->admitByKey(AdmissionRequest{
      Request.Class, Request.Key, Request.IdempotencyKey.has_value()});
  if (Admitted && Admitted->Class.Deadline > milliseconds(0))
    return makeError(
        ErrorKind::BadRequest,
        "the class has a deadline: submit the request to /v1/jobs/");
  return Admitted;
}

void Dispatcher::submit(WorkRequest Request, Callback OnDone) {
  this->Stats.count("requests_received_total");
  if (this->RejectsNewWork) {
    this->reportError(OnDone,
                      Error{ErrorKind::Draining, "this daemon is stopping",
                            UnavailableRetryAfter});
    return;
  }
  if (!this->CurrentAdmission) {
    this->reportError(OnDone, Error{ErrorKind::PlatformUnavailable,
                                    "no configuration has been read yet",
                                    UnavailableRetryAfter});
    return;
  }
  const Instant Now = this->Clock.now();
  Result<AdmittedRequest> Admitted = this->admit(Request);
  if (!Admitted) {
    this->reportError(OnDone, Admitted.error());
    return;
  }
  if (Result<void> Capacity = this->checkAcceptable(Request, *Admitted);
      !Capacity) {
    this->reportError(OnDone, Capacity.error());
    return;
  }
  auto Work = std::make_shared<PendingWork>();
  Work->Request = std::move(Request);
  Work->OnDone = std::move(OnDone);
  Work->Team = Admitted->Team;
  Work->Class = Admitted->Class;
  Work->ArrivedAt = Now;
  Work->LatestStart =
      latestStart(Now, Work->Request.RemainingTime.value_or(Work->Class.Target),
                  this->MeasuredRunTimes.estimate(Work->Class.Id, Work->Team));
  this->PendingBodyBytes += Work->Request.Body.size();
  this->Pending.emplace(Work->Request.Id, Work);
  if (Work->Class.Idempotent || Work->Request.AdmittedTeam) {
    this->enqueue(Work);
    return;
  }
  const ClaimKey Claim{Work->Team, *Work->Request.IdempotencyKey};
  this->Claims.claim(
      Claim, Work->Request.Id, [this, Work](Result<void> ClaimOutcome) {
        if (!ClaimOutcome) {
          this->complete(Work, tl::unexpected(ClaimOutcome.error()));
          return;
        }
        Work->Claimed = true;
        this->enqueue(Work);
      });
}

void Dispatcher::enqueue(const std::shared_ptr<PendingWork> &Work) {
  if (Work->Cancelled) {
    this->complete(Work,
                   makeError(ErrorKind::CallerGone, "gone before it started"));
    return;
  }
  PoolState &State = this->Pools[Work->Class.Pool];
  State.Queue.add(QueuedWork{Work->Request.Id, Work->Team, Work->Class.Id,
                             Work->ArrivedAt, Work->LatestStart});
  this->dispatchPool(Work->Class.Pool);
}

void Dispatcher::cancel(const RequestId &Id) {
  auto Found = this->Pending.find(Id);
  if (Found == this->Pending.end())
    return;
  const std::shared_ptr<PendingWork> Work = Found->second;
  Work->Cancelled = true;
  if (Work->Running) {
    this->Upstreams.cancel(Work->Vm, Id);
    return;
  }
  if (this->Pools[Work->Class.Pool].Queue.remove(Id))
    this->complete(Work,
                   makeError(ErrorKind::CallerGone, "gone before it started"));
}

void Dispatcher::resourceChanged(const ResourceId &) { this->tick(); }

void Dispatcher::tick() {
  if (!this->CurrentFleet)
    return;
  // Completing a request calls tick(), and its callback may submit requests,
  // which calls dispatchPool(). Such nested calls only request another pass.
  if (this->Dispatching) {
    this->DispatchAgain = true;
    return;
  }
  this->Dispatching = true;
  do {
    this->DispatchAgain = false;
    this->releaseUnconfirmedTasks();
    for (auto &[Id, State] : this->Pools)
      if (!State.Queue.empty())
        this->dispatchPoolOnce(Id);
  } while (this->DispatchAgain);
  this->Dispatching = false;
}

void Dispatcher::dispatchPool(const PoolId &Pool) {
  if (this->Dispatching) {
    this->DispatchAgain = true;
    return;
  }
  this->Dispatching = true;
  this->dispatchPoolOnce(Pool);
  this->Dispatching = false;
  if (this->DispatchAgain)
    this->tick();
}

void Dispatcher::dispatchPoolOnce(const PoolId &Pool) {
  PoolState &State = this->Pools[Pool];
  this->rejectExpired(State);
  while (!State.Queue.empty() && this->startNext(State)) {
  }
  if (!State.Queue.empty())
    this->requestUnits(State);
}

void Dispatcher::requestUnits(const PoolState &State) {
  for (const TeamId &Team : State.Queue.waitingTeams()) {
    const bool Limited = this->CurrentFleet->Teams.contains(Team);
    // Instant::max() counts all queued requests of the team.
    if (Limited && this->Escrow.available(resourceOf(Team)) == 0)
      this->Escrow.requestUnits(
          resourceOf(Team),
          static_cast<unsigned>(State.Queue.countDueBy(Team, Instant::max())));
  }
  const bool HasSlot = std::any_of(
      State.ServingVms.begin(), State.ServingVms.end(), [&](const VmId &Vm) {
        return this->Escrow.available(resourceOf(Vm)) > 0;
      });
  if (!HasSlot)
    this->requestVmSlots(State);
}

void Dispatcher::rejectExpired(PoolState &State) {
  const Duration Wait = this->estimateWait(State).value_or(DefaultRetryAfter);
  for (const QueuedWork &Expired :
       State.Queue.removeExpired(this->Clock.now())) {
    auto Found = this->Pending.find(Expired.Id);
    if (Found == this->Pending.end())
      continue;
    const std::shared_ptr<PendingWork> Work = Found->second;
    // Only this daemon's units are known here: other daemons may hold more.
    const bool NoTeamUnits =
        Work->Team != anonymousTeam() &&
        this->Escrow.available(resourceOf(Work->Team)) == 0 &&
        this->CurrentFleet->Teams.contains(Work->Team);
    this->complete(Work,
                   makeError(NoTeamUnits ? ErrorKind::CeilingReached
                                         : ErrorKind::TargetCannotBeMet,
                             "waited until its target could no longer be met",
                             toRetryAfter(Wait)));
  }
}

bool Dispatcher::isNotLeaving(const VmId &Vm) const {
  return !this->Leaving.contains(Vm);
}

std::vector<VmId> Dispatcher::drainingVmsWithWork() const {
  std::vector<VmId> Busy;
  if (!this->CurrentFleet)
    return Busy;
  for (const auto &[Id, Record] : this->Vms) {
    auto Found = this->CurrentFleet->Vms.find(Id);
    const bool Serving = Found != this->CurrentFleet->Vms.end() &&
                         Found->second.State == VmState::Serving;
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
  if (!this->CurrentFleet)
    return std::nullopt;
  auto Found = this->CurrentFleet->Classes.find(Class);
  if (Found == this->CurrentFleet->Classes.end())
    return std::nullopt;
  return Found->second.Idempotent;
}

unsigned Dispatcher::runningTaskCount(const VmId &Vm) const {
  auto Found = this->Vms.find(Vm);
  return Found == this->Vms.end() ? 0 : Found->second.Running;
}

std::vector<LocalLoad> Dispatcher::loads() const {
  std::vector<LocalLoad> All;
  for (const auto &[Id, State] : this->Pools)
    for (const auto &[Team, Running] : State.RunningByTeam)
      if (Running > 0)
        All.push_back(LocalLoad{Id, Team, Running});
  return All;
}

std::vector<PoolStatus> Dispatcher::poolStatus() const {
  std::vector<PoolStatus> All;
  const Instant Now = this->Clock.now();
  for (const auto &[Id, State] : this->Pools) {
    PoolStatus Status{Id, State.Queue.size(), 0,
                      static_cast<unsigned>(State.ServingVms.size()), 0};
    for (const auto &[Team, Running] : State.RunningByTeam)
      Status.Running += Running;
    for (const VmId &Vm : State.ServingVms)
      Status.Ejected += this->Vms.at(Vm).Health.isEjected(Now) ? 1 : 0;
    All.push_back(Status);
  }
  return All;
}

} // namespace sardinerill
