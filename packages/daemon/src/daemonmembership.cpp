#include "daemonimpl.h"

#include <algorithm>

/// \file
/// The daemon's exchange with peers and the platform: gossip, roster, VM list,
/// and the recovery and reclaiming of escrowed units.

namespace sardinerill {

namespace {

/// Longest pause of a daemon between the decision to start a task and sending
/// it that keeps the limits safe; see EscrowTimeLimits::PauseMargin.
constexpr Duration PauseMargin = seconds(5);

} // namespace

std::uint64_t wallClockMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Now).count());
}

EscrowTimeLimits escrowTimeLimitsOf(const Fleet &Current) {
  EscrowTimeLimits Timeouts;
  Timeouts.MaxRun = longestRunLimit(Current);
  Timeouts.PauseMargin = PauseMargin;
  return Timeouts;
}

Result<TeamId>
JobEnvironment::teamOfKey(const std::optional<std::string> &Key) {
  if (!Key)
    return anonymousTeam();
  if (this->WorkDispatcher.admission() == nullptr)
    return makeError(ErrorKind::PlatformUnavailable,
                     "no configuration has been read yet");
  return this->WorkDispatcher.admission()->teamOfKey(*Key);
}

bool JobEnvironment::isGoneOrUnowned(const DaemonId &Owner) {
  const DaemonIdentity OwnerIdentity = parseDaemonId(Owner);
  auto IsSuccessor = [&](const DaemonId &Id) {
    const DaemonIdentity Candidate = parseDaemonId(Id);
    return Candidate.Vm == OwnerIdentity.Vm &&
           Candidate.Incarnation > OwnerIdentity.Incarnation;
  };
  const auto &Members = this->Members.otherMembers();
  return Owner.empty() || IsSuccessor(this->Members.self()) ||
         this->RemovedVms.isRemoved(Owner) ||
         std::any_of(Members.begin(), Members.end(), [&](const auto &Entry) {
           return IsSuccessor(Entry.first);
         });
}

void DaemonApp::Impl::gossip() {
  std::vector<TeamRunCount> Loads;
  for (const LocalLoad &Load : this->WorkDispatcher->loads())
    Loads.push_back(TeamRunCount{Load.Pool, Load.Team, Load.Running});
  this->Members->setLoads(std::move(Loads));
  this->Members->setDrainingVmsWithWork(
      this->WorkDispatcher->drainingVmsWithWork());
  static thread_local std::mt19937_64 Random(wallClockMs());
  for (const OutgoingGossip &Out :
       this->Members->tick(this->Clock.now(), Random))
    this->Transport->send(Out.To, Out.Message);
}

void DaemonApp::Impl::pushDrainReport() {
  this->LastPushedDrainingVms = this->WorkDispatcher->drainingVmsWithWork();
  this->Members->setDrainingVmsWithWork(this->LastPushedDrainingVms);
  const ReportPush Report = this->Members->createReportPush(this->Clock.now());
  for (const auto &[Id, Other] : this->Members->otherMembers())
    this->Transport->send(Id, Report);
  this->Maintenance->startRoundNow();
}

void DaemonApp::Impl::pollRoster() {
  if (this->RosterPollPending || !this->PlatformLimiter.tryAcquire(
                                     CallPriority::Normal, this->Clock.now()))
    return;
  this->RosterPollPending = true;
  const bool Register = !this->Registered && !this->Stopping;
  struct PollOutcome {
    Result<void> Registration;
    Result<std::map<DaemonId, PeerEndpoint>> Rows;
  };
  runInBackground<PollOutcome>(
      this->Background,
      [this, Register] {
        Result<void> Registration;
        if (Register)
          Registration = renewRegistration(this->Platform, this->OwnIdentity,
                                           this->OwnEndpoint);
        return PollOutcome{Registration, readRoster(this->Platform)};
      },
      [this](PollOutcome Outcome) {
        this->RosterPollPending = false;
        if (!Outcome.Registration &&
            Outcome.Registration.error().Kind == ErrorKind::VersionConflict) {
          // Peers ignore this process. Only another one gets a new number.
          logEvent(LogLevel::Error, "daemon.superseded",
                   {{"daemon", this->Members->self().str()},
                    {"detail", Outcome.Registration.error().Detail}});
          this->IsSuperseded = true;
          this->beginShutdown();
        }
        if (!Outcome.Rows)
          return;
        this->Registered = Outcome.Rows->contains(this->Members->self());
        this->Members->applyRoster(*Outcome.Rows, this->Clock.now());
      });
}

void DaemonApp::Impl::pollVmList() {
  if (this->VmListPollPending || !this->PlatformLimiter.tryAcquire(
                                     CallPriority::Normal, this->Clock.now()))
    return;
  this->VmListPollPending = true;
  using List = Result<std::vector<VmListEntry>>;
  runInBackground<List>(
      this->Background, [this] { return this->Platform.listVms(); },
      [this](List Vms) {
        this->VmListPollPending = false;
        // An empty list would make every VM count as not live.
        if (Vms && !Vms->empty())
          this->applyVmList(*Vms);
      });
}

void DaemonApp::Impl::applyVmList(const std::vector<VmListEntry> &Vms) {
  std::set<VmId> Live;
  for (const VmListEntry &Entry : Vms)
    if (Entry.State == VmListState::Live)
      Live.insert(Entry.Vm);
  // VMs that the platform does not list as live get no new work.
  std::set<VmId> NotLive;
  const std::shared_ptr<const Fleet> Current = this->Replica->current();
  if (Current)
    for (const auto &[Id, Vm] : Current->Vms)
      if (!Live.contains(Id))
        NotLive.insert(Id);
  this->WorkDispatcher->setLeaving(std::move(NotLive));
  std::vector<DaemonId> Known;
  for (const auto &[Id, Other] : this->Members->otherMembers())
    Known.push_back(Id);
  const Instant Now = this->Clock.now();
  for (const DaemonId &Id : this->RemovedVms.update(Vms, Known, Now)) {
    logEvent(LogLevel::Warning, "member.gone", {{"daemon", Id.str()}});
    this->Members->removeMember(Id);
  }
  if (!Current)
    return;
  const Duration ReclaimDelay = escrowTimeLimitsOf(*Current).maxUnitUse();
  for (const DaemonId &Id : this->RemovedVms.takeReclaimable(Now, ReclaimDelay))
    this->reclaimUnits(Id);
}

void DaemonApp::Impl::reclaimUnits(const DaemonId &Removed) {
  runInBackground<Result<unsigned>>(
      this->Background,
      [this, Removed] { return reclaimGrants(this->Platform, Removed); },
      [this, Removed](Result<unsigned> Units) {
        if (!Units) {
          this->RemovedVms.requeue(Removed, this->Clock.now());
          return;
        }
        logEvent(
            LogLevel::Info, "units.reclaimed",
            {{"daemon", Removed.str()}, {"units", std::to_string(*Units)}});
      });
}

void DaemonApp::Impl::inheritGrants() {
  if (this->GrantsRecovered || !this->Replica->current())
    return;
  const DaemonId Self = this->Members->self();
  this->Escrow->inheritGrants(
      [Self, Vm = this->OwnIdentity.Vm](const DaemonId &Holder) {
        return Holder != Self && parseDaemonId(Holder).Vm == Vm;
      },
      [this](bool Succeeded) {
        this->GrantsRecovered = this->GrantsRecovered || Succeeded;
      });
}

} // namespace sardinerill
