#include "daemonimpl.h"

#include <algorithm>

/// \file
/// The daemon's exchange with peers and the platform: gossip, roster, VM list,
/// and the recovery of units held by daemons that no longer run.

namespace sardinerill {

namespace {

constexpr Duration PauseMargin = seconds(5);

} // namespace

std::uint64_t wallClockMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Now).count());
}

EscrowTimes escrowTimeoutsOf(const Fleet &Current) {
  EscrowTimes Timeouts;
  Timeouts.MaxRun = longestRun(Current);
  Timeouts.PauseMargin = PauseMargin;
  return Timeouts;
}

Result<TeamId> JobEnvironment::identify(const std::optional<std::string> &Key) {
  if (!Key)
    return openTeam();
  if (this->WorkDispatcher.admission() == nullptr)
    return makeError(ErrorKind::PlatformUnavailable,
                     "no configuration has been read yet");
  return this->WorkDispatcher.admission()->teamOf(*Key);
}

bool JobEnvironment::isGone(const DaemonId &Owner) {
  const DaemonName OwnerName = daemonNameOf(Owner);
  auto IsSuccessor = [&](const DaemonId &Id) {
    const DaemonName Candidate = daemonNameOf(Id);
    return Candidate.Vm == OwnerName.Vm &&
           Candidate.Incarnation > OwnerName.Incarnation;
  };
  const auto &Members = this->Members.members();
  return Owner.empty() || IsSuccessor(this->Members.self()) ||
         this->RemovedVms.isRemoved(Owner) ||
         std::any_of(Members.begin(), Members.end(), [&](const auto &Entry) {
           return IsSuccessor(Entry.first);
         });
}

void DaemonApp::Impl::gossip() {
  std::vector<TeamRunning> Loads;
  for (const LocalLoad &Load : this->WorkDispatcher->loads())
    Loads.push_back(TeamRunning{Load.Pool, Load.Team, Load.Running});
  this->Members->setLoads(std::move(Loads));
  this->Members->setBusyDraining(this->WorkDispatcher->busyDraining());
  static thread_local std::mt19937_64 Random(wallClockMs());
  for (const OutgoingGossip &Out :
       this->Members->tick(this->Clock.now(), Random))
    this->Hub->send(Out.To, Out.Message);
}

void DaemonApp::Impl::pushDrainReport() {
  this->ReportedDrainingVms = this->WorkDispatcher->busyDraining();
  this->Members->setBusyDraining(this->ReportedDrainingVms);
  const ReportPush Report = this->Members->pushReport(this->Clock.now());
  for (const auto &[Id, Other] : this->Members->members())
    this->Hub->send(Id, Report);
  this->Maintenance->kick();
}

void DaemonApp::Impl::pollRoster() {
  if (this->RosterPollPending ||
      !this->PlatformLimiter.allow(CallPriority::Normal, this->Clock.now()))
    return;
  this->RosterPollPending = true;
  const bool Register = !this->Registered && !this->Stopping;
  using Roster = Result<std::map<DaemonId, Contact>>;
  runFor<Roster>(
      this->Background,
      [this, Register] {
        if (Register)
          (void)registerDaemon(this->Platform, this->OwnName, this->OwnContact);
        return readRoster(this->Platform);
      },
      [this](Roster Rows) {
        this->RosterPollPending = false;
        if (!Rows)
          return;
        this->Registered = Rows->contains(this->Members->self());
        this->Members->learnRoster(*Rows, this->Clock.now());
      });
}

void DaemonApp::Impl::pollVmList() {
  if (this->VmListPollPending ||
      !this->PlatformLimiter.allow(CallPriority::Normal, this->Clock.now()))
    return;
  this->VmListPollPending = true;
  using List = Result<std::vector<VmListEntry>>;
  runFor<List>(
      this->Background, [this] { return this->Platform.listVms(); },
      [this](List Vms) {
        this->VmListPollPending = false;
        if (Vms && !Vms->empty())
          this->applyVmList(*Vms);
      });
}

void DaemonApp::Impl::applyVmList(const std::vector<VmListEntry> &Vms) {
  std::set<VmId> Live;
  for (const VmListEntry &Entry : Vms)
    if (Entry.State == VmListState::Live)
      Live.insert(Entry.Vm);
  std::set<VmId> Leaving;
  const std::shared_ptr<const Fleet> Current = this->Replica->current();
  if (Current)
    for (const auto &[Id, Vm] : Current->Vms)
      if (!Live.contains(Id))
        Leaving.insert(Id);
  this->WorkDispatcher->setLeaving(std::move(Leaving));
  std::vector<DaemonId> Known;
  for (const auto &[Id, Other] : this->Members->members())
    Known.push_back(Id);
  const Instant Now = this->Clock.now();
  for (const DaemonId &Id : this->RemovedVms.update(Vms, Known, Now)) {
    logEvent(LogLevel::Warning, "member.gone", {{"daemon", Id.str()}});
    this->Members->forget(Id);
  }
  if (!Current)
    return;
  const Duration Settle = escrowTimeoutsOf(*Current).settleTime();
  for (const DaemonId &Id : this->RemovedVms.popSettled(Now, Settle))
    this->reclaimUnits(Id);
}

void DaemonApp::Impl::reclaimUnits(const DaemonId &Removed) {
  runFor<Result<unsigned>>(
      this->Background,
      [this, Removed] { return reclaimAll(this->Platform, Removed); },
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

void DaemonApp::Impl::recoverGrants() {
  if (this->GrantsRecovered || !this->Replica->current())
    return;
  const DaemonId Self = this->Members->self();
  this->Escrow->recover(
      [Self, Vm = this->OwnName.Vm](const DaemonId &Holder) {
        return Holder != Self && daemonNameOf(Holder).Vm == Vm;
      },
      [this](bool Succeeded) {
        this->GrantsRecovered = this->GrantsRecovered || Succeeded;
      });
}

} // namespace sardinerill
