#include "daemonparts.h"

#include <algorithm>

/// \file
/// What the daemon learns of others and tells them: gossip, roster, VM list,
/// and units that were left behind.

namespace sardinerill {

namespace {

constexpr Duration PauseMargin = seconds(5);

} // namespace

std::uint64_t wallClockMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Now).count());
}

EscrowTimes escrowTimesOf(const Fleet &Current) {
  EscrowTimes Times;
  Times.MaxRun = longestRun(Current);
  Times.PauseMargin = PauseMargin;
  return Times;
}

Result<TeamId>
JobSurroundings::identify(const std::optional<std::string> &Key) {
  if (!Key)
    return openTeam();
  if (this->Work.admission() == nullptr)
    return makeError(ErrorKind::PlatformUnavailable,
                     "no configuration has been read yet");
  return this->Work.admission()->teamOf(*Key);
}

/// Certain only for predecessors of daemons that are known, and for VMs that
/// the platform has taken away.
bool JobSurroundings::isGone(const DaemonId &Owner) {
  const DaemonName Name = daemonNameOf(Owner);
  auto Succeeds = [&](const DaemonId &Id) {
    const DaemonName Other = daemonNameOf(Id);
    return Other.Vm == Name.Vm && Other.Incarnation > Name.Incarnation;
  };
  const auto &Members = this->Members.members();
  return Owner.empty() || Succeeds(this->Members.self()) ||
         this->Gone.isGone(Owner) ||
         std::any_of(Members.begin(), Members.end(),
                     [&](const auto &Entry) { return Succeeds(Entry.first); });
}

void DaemonApp::Parts::gossip() {
  std::vector<TeamRunning> Loads;
  for (const LocalLoad &Load : this->Work->loads())
    Loads.push_back(TeamRunning{Load.Pool, Load.Team, Load.Running});
  this->Members->setLoads(std::move(Loads));
  this->Members->setBusyDraining(this->Work->busyDraining());
  static thread_local std::mt19937_64 Random(wallClockMs());
  for (const OutgoingGossip &Out :
       this->Members->tick(this->Clock.now(), Random))
    this->Hub->send(Out.To, Out.Message);
}

/// Peers that wait for a drain hear of its end at once, not by gossip.
void DaemonApp::Parts::pushDrainReport() {
  this->ReportedBusy = this->Work->busyDraining();
  this->Members->setBusyDraining(this->ReportedBusy);
  const ReportPush Report = this->Members->pushReport(this->Clock.now());
  for (const auto &[Id, Other] : this->Members->members())
    this->Hub->send(Id, Report);
  this->Maintenance->kick();
}

void DaemonApp::Parts::readRosterRows() {
  if (this->ReadingRoster ||
      !this->Gate.allow(CallPriority::Normal, this->Clock.now()))
    return;
  this->ReadingRoster = true;
  const bool Register = !this->Registered && !this->Stopping;
  using Roster = Result<std::map<DaemonId, Contact>>;
  runFor<Roster>(
      this->Background,
      [this, Register] {
        if (Register)
          (void)registerDaemon(this->Platform, this->Name, this->Where);
        return readRoster(this->Platform);
      },
      [this](Roster Read) {
        this->ReadingRoster = false;
        if (!Read)
          return;
        this->Registered = Read->contains(this->Members->self());
        this->Members->learnRoster(*Read, this->Clock.now());
      });
}

void DaemonApp::Parts::readVmList() {
  if (this->ReadingVmList ||
      !this->Gate.allow(CallPriority::Normal, this->Clock.now()))
    return;
  this->ReadingVmList = true;
  using List = Result<std::vector<VmListEntry>>;
  runFor<List>(
      this->Background, [this] { return this->Platform.listVms(); },
      [this](List Read) {
        this->ReadingVmList = false;
        if (Read && !Read->empty())
          this->takeVmList(*Read);
      });
}

void DaemonApp::Parts::takeVmList(const std::vector<VmListEntry> &Vms) {
  std::set<VmId> Live;
  for (const VmListEntry &Entry : Vms)
    if (Entry.State == VmListState::Live)
      Live.insert(Entry.Vm);
  std::set<VmId> Leaving;
  const std::shared_ptr<const Fleet> Current = this->Keeper->current();
  if (Current)
    for (const auto &[Id, Vm] : Current->Vms)
      if (!Live.contains(Id))
        Leaving.insert(Id);
  this->Work->setLeaving(std::move(Leaving));
  std::vector<DaemonId> Known;
  for (const auto &[Id, Other] : this->Members->members())
    Known.push_back(Id);
  const Instant Now = this->Clock.now();
  for (const DaemonId &Id : this->Gone.update(Vms, Known, Now)) {
    logEvent(LogLevel::Warning, "member.gone", {{"daemon", Id.str()}});
    this->Members->forget(Id);
  }
  if (!Current)
    return;
  const Duration Settle = escrowTimesOf(*Current).settleTime();
  for (const DaemonId &Id : this->Gone.takeSettled(Now, Settle))
    this->reclaim(Id);
}

void DaemonApp::Parts::reclaim(const DaemonId &Lost) {
  runFor<Result<unsigned>>(
      this->Background,
      [this, Lost] { return reclaimAll(this->Platform, Lost); },
      [this, Lost](Result<unsigned> Units) {
        if (!Units) {
          this->Gone.retry(Lost, this->Clock.now());
          return;
        }
        logEvent(LogLevel::Info, "units.reclaimed",
                 {{"daemon", Lost.str()}, {"units", std::to_string(*Units)}});
      });
}

void DaemonApp::Parts::recover() {
  if (this->Recovered || !this->Keeper->current())
    return;
  const DaemonId Self = this->Members->self();
  this->Escrow->recover(
      [Self, Vm = this->Name.Vm](const DaemonId &Holder) {
        return Holder != Self && daemonNameOf(Holder).Vm == Vm;
      },
      [this](bool Done) { this->Recovered = this->Recovered || Done; });
}

} // namespace sardinerill
