#pragma once

#include "peerrouter.h"
#include "periodictimer.h"
#include "removedvmtracker.h"
#include "sardinerill/control/maintenancecontroller.h"
#include "sardinerill/control/operatorrequesthandler.h"
#include "sardinerill/control/roster.h"
#include "sardinerill/daemon/daemonapp.h"
#include "sardinerill/dispatch/httpupstreams.h"
#include "sardinerill/gateway/callerserver.h"
#include "sardinerill/jobs/jobservice.h"
#include "sardinerill/platform/httpplatform.h"
#include "threadpoolexecutor.h"

#include <boost/asio/signal_set.hpp>
#include <optional>

/// \file
/// The modules of a daemon and the adapters that connect them.

namespace sardinerill {

/// \returns the VM's wall clock time. Used for seeds, for job times, and as
/// the incarnation if the platform is unavailable at the start: a clock that
/// was set back then yields an incarnation smaller than that of earlier starts.
std::uint64_t wallClockMs();

/// \returns the escrow time limits that follow from the fleet configuration.
EscrowTimeLimits escrowTimeLimitsOf(const Fleet &Current);

/// Provides the dispatcher with the state of the other daemons.
class MembershipFleetView : public IFleetView {
public:
  explicit MembershipFleetView(const Membership &Members) : Members(Members) {}
  Instant confirmedNewestAt() const override {
    return this->Members.confirmedNewestAt();
  }
  unsigned runningOnOtherDaemons(const PoolId &Pool,
                                 const TeamId &Team) const override {
    return this->Members.runningOnOtherDaemons(Pool, Team);
  }

private:
  const Membership &Members;
};

/// Provides the job service with admission, membership and the wall clock.
class JobEnvironment : public IJobEnvironment {
public:
  JobEnvironment(const Dispatcher &WorkDispatcher, const Membership &Members,
                 const RemovedVmTracker &RemovedVms)
      : WorkDispatcher(WorkDispatcher), Members(Members),
        RemovedVms(RemovedVms) {}

  Result<AdmittedRequest> admit(const AdmissionRequest &Request) override {
    return this->WorkDispatcher.admitByKey(Request);
  }
  /// \returns the team of \p Key, or the anonymous team if there is no key.
  Result<TeamId> teamOfKey(const std::optional<std::string> &Key) override;
  std::optional<bool> isIdempotent(const ClassId &Class) override {
    return this->WorkDispatcher.isIdempotent(Class);
  }
  /// \returns true if \p Owner is empty (the job has no owner), if a daemon
  /// with a higher incarnation is known on the same VM, or if the VM was
  /// removed.
  bool isGoneOrUnowned(const DaemonId &Owner) override;
  std::int64_t wallClockMs() override {
    return static_cast<std::int64_t>(sardinerill::wallClockMs());
  }

private:
  const Dispatcher &WorkDispatcher;
  const Membership &Members;
  const RemovedVmTracker &RemovedVms;
};

/// Provides the maintenance controller with the dispatcher's observations of
/// VMs.
class DispatcherVmObserver : public IVmObserver {
public:
  explicit DispatcherVmObserver(const Dispatcher &WorkDispatcher)
      : WorkDispatcher(WorkDispatcher) {}
  bool isEjected(const VmId &Vm) const override {
    return this->WorkDispatcher.isEjected(Vm);
  }
  unsigned runningTaskCount(const VmId &Vm) const override {
    return this->WorkDispatcher.runningTaskCount(Vm);
  }

private:
  const Dispatcher &WorkDispatcher;
};

/// The modules and the state of a daemon process.
struct DaemonApp::Impl {
  Settings Config;
  boost::asio::io_context Loop;
  BootClock Clock;
  Metrics Stats;
  HttpPlatform Platform;
  PlatformCallLimiter PlatformLimiter;
  ThreadPoolExecutor Background{Loop};
  PeerEndpoint OwnEndpoint;
  DaemonIdentity OwnIdentity;
  std::unique_ptr<Membership> Members;
  std::unique_ptr<PeerTransport> Transport;
  std::unique_ptr<LoanMessageSender> LoanSender;
  std::unique_ptr<EscrowAgent> Escrow;
  std::unique_ptr<HttpUpstreams> Upstreams;
  std::unique_ptr<TableClaims> Claims;
  std::unique_ptr<MembershipFleetView> DispatcherFleetView;
  std::unique_ptr<Dispatcher> WorkDispatcher;
  std::unique_ptr<JobEnvironment> JobContext;
  std::unique_ptr<JobService> Jobs;
  std::unique_ptr<FleetReplica> Replica;
  std::unique_ptr<DispatcherVmObserver> VmObserver;
  std::unique_ptr<MaintenanceController> Maintenance;
  std::unique_ptr<PeerRouter> Router;
  std::unique_ptr<OperatorRequestHandler> OperatorService;
  std::unique_ptr<OperatorServer> OperatorApi;
  std::unique_ptr<CallerServer> CallerApi;
  std::vector<std::unique_ptr<PeriodicTimer>> Timers;
  std::optional<boost::asio::signal_set> Signals;
  RemovedVmTracker RemovedVms;
  bool Registered = false;
  /// Whether a later process is registered for this VM; this one stops.
  bool IsSuperseded = false;
  /// Whether inheritGrants() has succeeded.
  bool GrantsRecovered = false;
  bool RosterPollPending = false;
  bool VmListPollPending = false;
  /// Draining VMs with running work, as last sent by pushDrainReport().
  std::vector<VmId> LastPushedDrainingVms;
  bool Stopping = false;
  bool CallerApiDraining = false;
  bool ReturningUnits = false;
  bool ShutdownFinishing = false;
  Instant ShutdownStartedAt{};
  Instant UnitReturnStartedAt{};
  int ExitCode = 0;

  explicit Impl(Settings Loaded)
      : Config(std::move(Loaded)),
        Platform({Config.PlatformAddress,
                  static_cast<unsigned short>(Config.PlatformPort),
                  Config.PlatformTimeout}),
        PlatformLimiter(Config.PlatformCallsPerSecond, wallClockMs()),
        OwnEndpoint{ZoneId(Config.Zone), Config.PeersAddress,
                    static_cast<unsigned short>(Config.PeersPort)},
        OwnIdentity{Config.Vm, wallClockMs()} {}

  /// Registers the daemon in the platform's table (blocking) and creates all
  /// modules.
  void build();
  void buildDispatch();
  void buildEndpoints();
  /// \returns an empty string, or the reason why an endpoint cannot listen.
  std::string openEndpoints();
  void startTimers();
  /// Calls \p Callback every \p Interval on the event loop thread.
  void startTimer(Duration Interval, std::function<void()> Callback);
  /// Applies a new version of the fleet configuration.
  void applyFleet(const std::shared_ptr<const Fleet> &Newest);
  void gossip();
  void pollRoster();
  void pollVmList();
  /// Sends the current drain state to all peers immediately instead of with the
  /// next gossip round, because peers may be waiting for the drain to finish.
  void pushDrainReport();
  void applyVmList(const std::vector<VmListEntry> &Vms);
  /// Returns the units (VM slots and parts of team ceilings) that were granted
  /// to a daemon on a removed VM to the escrow table.
  void reclaimUnits(const DaemonId &Removed);
  /// Takes over the escrow grants of earlier daemons on this VM.
  void inheritGrants();
  bool isReady() const;
  void watchSignals();
  void beginShutdown();
  /// Performs the next step of a graceful shutdown if its condition is met.
  void continueShutdown();
  void finishShutdown();
};

} // namespace sardinerill
