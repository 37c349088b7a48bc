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

/// Limits of one daemon's dispatcher.
struct DispatcherOptions {
  ZoneId Zone;
  unsigned QueueLimit = 1000;
  std::size_t MaxHeldBytes = 32U * 1024 * 1024;
  Duration KeyGrace = seconds(10);
  std::uint64_t Seed = 1;
};

/// State of the other daemons that the dispatcher depends on.
class IFleetView {
public:
  virtual ~IFleetView() = default;
  /// \returns the latest time at which the configuration was confirmed to be
  /// in force.
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

/// Status of one pool, as reported to operators.
struct PoolStatus {
  PoolId Pool;
  std::size_t Waiting = 0;
  unsigned Running = 0;
  unsigned Vms = 0;
  unsigned Ejected = 0;
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
  /// Sets the VMs that the platform lists as leaving or no longer lists; no new
  /// requests are sent to them.
  void setLeaving(std::set<VmId> Vms);
  /// Starts queued requests after units of a resource may have become free.
  void resourceChanged(const ResourceId &Resource);
  /// Sheds requests that can no longer meet their target and starts those for
  /// which units are available.
  void tick();
  /// Rejects all new requests from now on; pending requests are completed.
  void rejectNewWork() { this->RejectsNewWork = true; }

  /// \returns whether no request is pending.
  bool isIdle() const { return this->Pending.empty(); }
  /// \returns the number of pending requests, queued or running.
  std::size_t pendingRequests() const { return this->Pending.size(); }
  /// \returns VMs being drained that still run requests sent by this daemon.
  std::vector<VmId> drainingVmsWithWork() const;
  std::vector<LocalLoad> loads() const;
  /// \returns whether the VM is currently ejected because of consecutive
  /// failures.
  bool isEjected(const VmId &Vm) const;
  unsigned runningOn(const VmId &Vm) const;
  /// \returns whether requests of \p Class may run more than once, or
  /// std::nullopt if the class no longer exists.
  std::optional<bool> isIdempotent(const ClassId &Class) const;
  std::vector<PoolStatus> poolStatus() const;
  const Admission *admission() const { return this->CurrentAdmission.get(); }
  /// Checks a request's key and class in the same way as submit().
  Result<AdmittedRequest> admitByKey(const AdmissionRequest &Request) const;

private:
  struct PendingWork;
  struct PoolState;
  struct VmRecord;
  class PoolTeamLoads;

  Result<AdmittedRequest> admit(const WorkRequest &Request) const;
  void refuse(const Callback &OnDone, const Error &Cause);
  Result<void> checkCapacity(const WorkRequest &Request,
                             const AdmittedRequest &AdmittedAs) const;
  Result<void> checkPool(const AdmittedRequest &AdmittedAs,
                         Instant LatestStart) const;
  void enqueue(const std::shared_ptr<PendingWork> &Work);
  void dispatchPool(const PoolId &Pool);
  bool startNext(PoolState &State);
  void shedLate(PoolState &State);
  std::optional<VmId> chooseVmFor(const PoolState &State,
                                  const PendingWork &Work);
  void requestUnits(const PoolState &State);
  void requestVmSlots(const PoolState &State);
  void dispatchPoolOnce(const PoolId &Pool);
  void start(const std::shared_ptr<PendingWork> &Work, const VmId &Vm,
             const UnitSource &TeamUnit, const UnitSource &VmUnit);
  void finishAttempt(const std::shared_ptr<PendingWork> &Work,
                     UpstreamOutcome Outcome);
  void releaseUnits(PendingWork &Work, bool Ended);
  bool retry(const std::shared_ptr<PendingWork> &Work,
             const UpstreamFailure &Failure);
  void complete(const std::shared_ptr<PendingWork> &Work,
                Result<WorkResponse> Outcome);
  void releaseExpiredUnits();
  bool isUsable(const VmId &Vm) const;
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
  /// Units of a task that may still be running after its attempt failed. They
  /// are released once the task's run limit has passed.
  struct UnconfirmedTask {
    Instant ReleaseAt;
    TeamId Team;
    PoolId Pool;
    VmId Vm;
    UnitSource TeamUnit;
    UnitSource VmUnit;
  };
  std::vector<UnconfirmedTask> UnconfirmedTasks;
  std::size_t HeldBytes = 0;
  bool RejectsNewWork = false;
  bool Dispatching = false;
  bool DispatchAgain = false;
};

} // namespace sardinerill
