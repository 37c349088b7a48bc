#pragma once

#include "sardinerill/admission/admission.h"
#include "sardinerill/base/clock.h"
#include "sardinerill/base/metrics.h"
#include "sardinerill/dispatch/claims.h"
#include "sardinerill/dispatch/iupstreams.h"
#include "sardinerill/dispatch/iworkservice.h"
#include "sardinerill/dispatch/retrybudget.h"
#include "sardinerill/dispatch/vmchoice.h"
#include "sardinerill/escrow/iescrow.h"
#include "sardinerill/queueing/runtimes.h"
#include "sardinerill/queueing/workqueue.h"

#include <memory>
#include <random>
#include <set>
#include <unordered_map>

/// \file
/// Brings work from admission through the queue to an upstream VM and back.

namespace sardinerill {

/// Limits of one daemon's dispatcher.
struct DispatcherOptions {
  ZoneId Zone;
  unsigned QueueLimit = 1000;
  std::size_t MaxHeldBytes = 32U * 1024 * 1024;
  Duration KeyGrace = seconds(10);
  std::uint64_t Seed = 1;
};

/// What the dispatcher needs to know of the other daemons.
class IFleetView {
public:
  virtual ~IFleetView() = default;
  /// \returns since when the configuration is known to be in force.
  virtual Instant freshSince() const = 0;
  /// \returns requests of the team running in the pool at other daemons.
  virtual unsigned runningElsewhere(const PoolId &Pool,
                                    const TeamId &Team) const = 0;
};

/// Requests of one team running here in one pool.
struct LocalLoad {
  PoolId Pool;
  TeamId Team;
  unsigned Running = 0;
};

/// What operators are shown of one pool.
struct PoolStatus {
  PoolId Pool;
  std::size_t Waiting = 0;
  unsigned Running = 0;
  unsigned Vms = 0;
  unsigned Ejected = 0;
};

/// All calls are made on the deciding thread.
class Dispatcher : public IWorkService {
public:
  Dispatcher(DispatcherOptions Options, IEscrow &Escrow, IUpstreams &Upstreams,
             IClaims &Claims, const IFleetView &View, const IClock &Clock,
             Metrics &Stats);
  ~Dispatcher() override;

  void submit(WorkRequest Request, Done OnDone) override;
  void cancel(const RequestId &Id) override;

  /// Takes over a new version of the fleet; work in hand keeps its class.
  void setFleet(std::shared_ptr<const Fleet> NewFleet);
  /// VMs that the platform lists as leaving or no longer lists.
  void setLeaving(std::set<VmId> Vms);
  /// Units may have become free.
  void resourceChanged(const ResourceId &Resource);
  /// Sheds what is late and starts what can start.
  void tick();
  /// Refuses all new work from now on; work in hand is finished.
  void rejectNewWork() { this->RejectsNewWork = true; }

  /// \returns whether no request is in hand.
  bool isIdle() const { return this->Pending.empty(); }
  std::size_t inHand() const { return this->Pending.size(); }
  /// \returns VMs being drained that still run work sent from here.
  std::vector<VmId> busyDraining() const;
  std::vector<LocalLoad> loads() const;
  /// \returns whether the VM was failing when it was last tried.
  bool isEjected(const VmId &Vm) const;
  unsigned runningOn(const VmId &Vm) const;
  /// \returns whether work of \p Class may run twice; nothing if it is gone.
  std::optional<bool> isIdempotent(const ClassId &Class) const;
  std::vector<PoolStatus> poolStatus() const;
  const Admission *admission() const { return this->CurrentAdmission.get(); }
  /// Admits a request by its key, as submit() does.
  Result<Admitted> admitByKey(const AdmissionRequest &Request) const;

private:
  struct PendingWork;
  struct PoolState;
  struct VmRecord;
  class PoolTeamLoads;

  Result<Admitted> admit(const WorkRequest &Request) const;
  void refuse(const Done &OnDone, const Error &Cause);
  Result<void> checkCapacity(const WorkRequest &Request,
                             const Admitted &AdmittedAs) const;
  Result<void> checkPool(const Admitted &AdmittedAs, Instant LatestStart) const;
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
                Result<WorkAnswer> Outcome);
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
  RunTimes MeasuredRunTimes;
  RetryBudget Budget;
  std::unordered_map<RequestId, std::shared_ptr<PendingWork>> Pending;
  std::map<PoolId, PoolState> Pools;
  std::map<VmId, VmRecord> Vms;
  /// Units of tasks whose end is not known, until their run limit has passed.
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
