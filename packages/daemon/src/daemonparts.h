#pragma once

#include "background.h"
#include "gonevms.h"
#include "peerrouter.h"
#include "periodic.h"
#include "sardinerill/control/maintenanceduty.h"
#include "sardinerill/control/operations.h"
#include "sardinerill/control/roster.h"
#include "sardinerill/daemon/daemonapp.h"
#include "sardinerill/dispatch/httpupstreams.h"
#include "sardinerill/gateway/callerdoor.h"
#include "sardinerill/jobs/jobservice.h"
#include "sardinerill/platform/httpplatform.h"

#include <boost/asio/signal_set.hpp>
#include <optional>

/// \file
/// The modules of one daemon and what ties them.

namespace sardinerill {

/// \returns the VM's wall clock; only used where it need not be right.
std::uint64_t wallClockMs();

/// \returns the times that units of \p Current go by.
EscrowTimes escrowTimesOf(const Fleet &Current);

/// What the dispatcher asks of the other daemons.
class FleetView : public IFleetView {
public:
  explicit FleetView(const Membership &Members) : Members(Members) {}
  Instant freshSince() const override { return this->Members.freshSince(); }
  unsigned runningElsewhere(const PoolId &Pool,
                            const TeamId &Team) const override {
    return this->Members.runningElsewhere(Pool, Team);
  }

private:
  const Membership &Members;
};

/// What jobs ask of the daemon.
class JobSurroundings : public IJobSurroundings {
public:
  JobSurroundings(const Dispatcher &Work, const Membership &Members,
                  const GoneVms &Gone)
      : Work(Work), Members(Members), Gone(Gone) {}

  Result<Admitted> admit(const AdmissionRequest &Request) override {
    return this->Work.admitByKey(Request);
  }
  Result<TeamId> identify(const std::optional<std::string> &Key) override;
  std::optional<bool> isIdempotent(const ClassId &Class) override {
    return this->Work.isIdempotent(Class);
  }
  bool isGone(const DaemonId &Owner) override;
  std::int64_t wallClockMs() override {
    return static_cast<std::int64_t>(sardinerill::wallClockMs());
  }

private:
  const Dispatcher &Work;
  const Membership &Members;
  const GoneVms &Gone;
};

/// What the maintenance duty asks of the dispatcher.
class MaintenanceView : public IMaintenanceView {
public:
  explicit MaintenanceView(const Dispatcher &Work) : Work(Work) {}
  bool isSuspected(const VmId &Vm) const override {
    return this->Work.isEjected(Vm);
  }
  unsigned runningOn(const VmId &Vm) const override {
    return this->Work.runningOn(Vm);
  }

private:
  const Dispatcher &Work;
};

/// Every module, in the order they need each other.
struct DaemonApp::Parts {
  Settings Wanted;
  boost::asio::io_context Loop;
  BootClock Clock;
  Metrics Figures;
  HttpPlatform Platform;
  PlatformGate Gate;
  ThreadBackground Background{Loop};
  Contact Where;
  DaemonName Name;
  std::unique_ptr<Membership> Members;
  std::unique_ptr<PeerHub> Hub;
  std::unique_ptr<LoanPeers> Loans;
  std::unique_ptr<EscrowAgent> Escrow;
  std::unique_ptr<HttpUpstreams> Upstreams;
  std::unique_ptr<TableClaims> Claims;
  std::unique_ptr<FleetView> View;
  std::unique_ptr<Dispatcher> Work;
  std::unique_ptr<JobSurroundings> JobsAround;
  std::unique_ptr<JobService> Jobs;
  std::unique_ptr<FleetKeeper> Keeper;
  std::unique_ptr<MaintenanceView> MaintenanceSight;
  std::unique_ptr<MaintenanceDuty> Maintenance;
  std::unique_ptr<PeerRouter> Router;
  std::unique_ptr<Operations> Operator;
  std::unique_ptr<OperatorDoor> OperatorEntry;
  std::unique_ptr<CallerDoor> CallerEntry;
  std::vector<std::unique_ptr<Periodic>> Timers;
  std::optional<boost::asio::signal_set> Signals;
  GoneVms Gone;
  bool Registered = false;
  bool Recovered = false;
  bool ReadingRoster = false;
  bool ReadingVmList = false;
  std::vector<VmId> ReportedBusy;
  bool Stopping = false;
  bool DoorClosed = false;
  bool GivingBack = false;
  bool Finishing = false;
  Instant StopBegan{};
  Instant GiveBackBegan{};
  int ExitCode = 0;

  explicit Parts(Settings Given)
      : Wanted(std::move(Given)),
        Platform({Wanted.PlatformAddress,
                  static_cast<unsigned short>(Wanted.PlatformPort),
                  Wanted.PlatformTimeout}),
        Gate(Wanted.PlatformCallsPerSecond, wallClockMs()),
        Where{ZoneId(Wanted.Zone), Wanted.PeersAddress,
              static_cast<unsigned short>(Wanted.PeersPort)},
        Name{Wanted.Vm, wallClockMs()} {}

  void build();
  void buildWork();
  void buildDoors();
  std::string openDoors();
  void startTimers();
  void every(Duration Interval, std::function<void()> Do);
  void adopt(const std::shared_ptr<const Fleet> &Newest);
  void gossip();
  void readRosterRows();
  void readVmList();
  void pushDrainReport();
  void takeVmList(const std::vector<VmListEntry> &Vms);
  void reclaim(const DaemonId &Gone);
  void recover();
  bool isReady() const;
  void watchSignals();
  void beginStop();
  void continueStop();
  void finishStop();
};

} // namespace sardinerill
