#pragma once

#include "sardinerill/admission/admission.h"
#include "sardinerill/base/clock.h"
#include "sardinerill/base/metrics.h"
#include "sardinerill/dispatch/claims.h"
#include "sardinerill/dispatch/iupstreams.h"
#include "sardinerill/dispatch/iworkservice.h"
#include "sardinerill/dispatch/retrybudget.h"
#include "sardinerill/dispatch/vmselection.h"
#include "sardinerill/escrow/iescrow.h"
#include "sardinerill/queueing/runtimeestimator.h"
#include "sardinerill/queueing/workqueue.h"

#include <memory>
#include <random>
#include <set>
#include <unordered_map>

/// \file
/// Admits requests, queues them per pool, sends them to upstream VMs and
/// returns the responses.

namespace sardinerill {

/// Options of one daemon's dispatcher.
struct DispatcherOptions {
  /// Availability zone of the daemon; VMs in it are preferred.
  ZoneId Zone;
  /// Maximum number of queued requests per pool.
  unsigned QueueLimit = 1000;
  /// Maximum total size of the bodies of pending requests.
  std::size_t MaxHeldBytes = 32U * 1024 * 1024;
  /// Time for which keys are still accepted after the configuration was last
  /// confirmed.
  Duration KeyGrace = seconds(10);
  /// Seed of the random selection of VMs.
  std::uint64_t Seed = 1;
};

/// State outside the dispatcher that it depends on: the age of the
/// configuration, and the load on other daemons.
class IFleetView {
public:
  virtual ~IFleetView() = default;
  /// \returns the latest time for which it is confirmed that no version newer
  /// than this daemon's configuration was in force.
  virtual Instant confirmedNewestAt() const = 0;
  /// \returns the number of the team's requests that other daemons are running
  /// in the pool.
  virtual unsigned runningOnOtherDaemons(const PoolId &Pool,
                                         const TeamId &Team) const = 0;
};

/// Number of one team's requests that this daemon is running in one pool.
struct LocalLoad {
  PoolId Pool;
  TeamId Team;
  unsigned Running = 0;
};

/// Status of one pool on this daemon, as reported to operators.
struct PoolStatus {
  PoolId Pool;
  std::size_t Waiting = 0; ///< Queued requests.
  unsigned Running = 0;    ///< Tasks, including unconfirmed ones.
  unsigned Vms = 0;        ///< VMs in state Serving.
  unsigned Ejected = 0;    ///< Of these, VMs that are currently ejected.
};

/// Queues admitted requests, starts them on upstream VMs within the limits of
/// teams and VMs, and retries failed attempts. Not thread-safe: all calls are
/// made on the event loop thread.
class Dispatcher : public IWorkService {
public:
  Dispatcher(DispatcherOptions Options, IEscrow &Escrow, IUpstreams &Upstreams,
             IClaims &Claims, const IFleetView &View, const IClock &Clock,
             Metrics &Stats);
  ~Dispatcher() override;

  void submit(WorkRequest Request, Callback OnDone) override;
  void cancel(const RequestId &Id) override;

  /// Applies a new version of the fleet. Pending requests keep the class
  /// definition they were admitted with.
  void setFleet(std::shared_ptr<const Fleet> NewFleet);
  /// Sets the VMs that the platform is about to remove or has removed; no new
  /// requests are sent to them.
  void setLeaving(std::set<VmId> Vms);
  /// Called when units of a team's ceiling or a VM's slots may have become
  /// available. Calls tick(), whichever resource has changed.
  void resourceChanged(const ResourceId &Resource);
  /// Rejects queued requests that can no longer meet their target, releases the
  /// units of unconfirmed tasks whose run limit has passed, and starts requests
  /// while units are available.
  void tick();
  /// Rejects all new requests from now on; pending requests are completed.
  void rejectNewWork() { this->RejectsNewWork = true; }

  /// \returns whether no request is pending.
  bool isIdle() const { return this->Pending.empty(); }
  /// \returns the number of pending requests, queued or running.
  std::size_t pendingRequestCount() const { return this->Pending.size(); }
  /// \returns the VMs that are not in state Serving, or no longer in the
  /// configuration, and still run requests sent by this daemon.
  std::vector<VmId> drainingVmsWithWork() const;
  /// \returns the numbers of running requests per pool and team that are not 0.
  std::vector<LocalLoad> loads() const;
  /// \returns whether the VM is currently ejected because of consecutive
  /// failures.
  bool isEjected(const VmId &Vm) const;
  /// \returns the number of tasks that this daemon has on the VM, including
  /// those that may still be running after their attempt failed.
  unsigned runningTaskCount(const VmId &Vm) const;
  /// \returns whether requests of \p Class may run more than once, or
  /// std::nullopt if the class no longer exists.
  std::optional<bool> isIdempotent(const ClassId &Class) const;
  std::vector<PoolStatus> poolStatus() const;
  /// \returns the admission checks of the current configuration, or nullptr
  /// before the first call of setFleet().
  const Admission *admission() const { return this->CurrentAdmission.get(); }
  /// Checks a request's key and class in the same way as submit().
  Result<AdmittedRequest> admitByKey(const AdmissionRequest &Request) const;

private:
  struct PendingWork;
  struct PoolState;
  struct VmRecord;
  class PoolTeamLoads;

  Result<AdmittedRequest> admit(const WorkRequest &Request) const;
  /// Counts the error and passes it to \p OnDone.
  void reportError(const Callback &OnDone, const Error &Cause);
  /// Checks that the request id is not in use, and the limits on memory, queue
  /// length and the team's ceiling.
  Result<void> checkAcceptable(const WorkRequest &Request,
                               const AdmittedRequest &Admitted) const;
  Result<void> checkPool(const AdmittedRequest &Admitted,
                         Instant LatestStart) const;
  void enqueue(const std::shared_ptr<PendingWork> &Work);
  void dispatchPool(const PoolId &Pool);
  bool startNext(PoolState &State);
  /// Completes queued requests that can no longer meet their target with an
  /// error.
  void rejectExpired(PoolState &State);
  std::optional<VmId> chooseVmFor(const PoolState &State,
                                  const PendingWork &Work);
  void requestUnits(const PoolState &State);
  void requestVmSlots(const PoolState &State);
  void dispatchPoolOnce(const PoolId &Pool);
  void start(const std::shared_ptr<PendingWork> &Work, const VmId &Vm,
             const UnitSource &TeamUnit, const UnitSource &VmUnit);
  void finishAttempt(const std::shared_ptr<PendingWork> &Work,
                     UpstreamOutcome Outcome);
  /// Releases the units of an attempt that is over. If the task may still be
  /// running, they are held until its run limit has passed.
  void releaseOrHoldUnits(PendingWork &Work, bool TaskIsNotRunning);
  /// \returns whether the request was queued for another attempt.
  bool tryRetry(const std::shared_ptr<PendingWork> &Work,
                const UpstreamFailure &Failure);
  void complete(const std::shared_ptr<PendingWork> &Work,
                Result<WorkResponse> Outcome);
  /// Releases the units of unconfirmed tasks whose run limit has passed.
  void releaseUnconfirmedTasks();
  bool isNotLeaving(const VmId &Vm) const;
  std::optional<Duration> estimateWait(const PoolState &State) const;

  DispatcherOptions Options;
  IEscrow &Escrow;
  IUpstreams &Upstreams;
  IClaims &Claims;
  const IFleetView &View;
  const IClock &Clock;
  Metrics &Stats;
  std::mt19937_64 Random;
  std::shared_ptr<const Fleet> CurrentFleet;
  std::unique_ptr<Admission> CurrentAdmission;
  std::set<VmId> Leaving;
  RunTimeEstimator MeasuredRunTimes;
  RetryBudget Budget;
  std::unordered_map<RequestId, std::shared_ptr<PendingWork>> Pending;
  std::map<PoolId, PoolState> Pools;
  std::map<VmId, VmRecord> Vms;
  /// A task that may still be running after its attempt failed. Its units stay
  /// acquired until its run limit has passed.
  struct UnconfirmedTask {
    Instant ReleaseAt;
    TeamId Team;
    PoolId Pool;
    VmId Vm;
    UnitSource TeamUnit;
    UnitSource VmUnit;
  };
  std::vector<UnconfirmedTask> UnconfirmedTasks;
  /// Total size of the bodies of pending requests.
  std::size_t PendingBodyBytes = 0;
  bool RejectsNewWork = false;
  bool Dispatching = false;
  bool DispatchAgain = false;
};

} // namespace sardinerill
