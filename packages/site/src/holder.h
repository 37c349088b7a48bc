#pragma once

#include "evacuationpublisher.h"
#include "jobtable.h"
#include "runtimestorage.h"
#include "upstreamlink.h"
#include "vmcoordinator.h"

#include "sardinerill/base/adaptivetimelimit.h"
#include "sardinerill/site/isitesource.h"
#include "sardinerill/site/sitesettings.h"

#include <span>

/// \file
/// The part of a daemon that is active while the daemon holds the site's
/// ownership row. There is one holder per site: it follows accepted jobs and
/// the registry, runs the scheduler, sends the resulting commands to upstreams
/// and stores progress.

namespace sardinerill::site {

/// Objects of the daemon that Holder and OwnershipManager use. They outlive
/// both.
struct SiteDeps {
  boost::asio::any_io_executor Executor;
  const IClock &Clock;
  IStore &Store;
  ISiteSource &Source;
  IUpstreamClientFactory &Upstreams;
  ISiteVmControl &Vms;
  IPlacementAdvisor *Advisor = nullptr;
  JobTable &Jobs;
  Metrics &Stats;
  const SiteSettings &Settings;
  /// Kept up to date by the daemon.
  const ZoneEvacuations &Evacuations;
  const OperatorRowsAge &OperatorRows;
};

/// A successful claim of ownership, and what is known of earlier holders.
struct OwnershipClaim {
  std::int64_t Token = 0; ///< Fencing token: version of the epoch row.
  int Term = 0;
  Instant ClaimSentAt{};
  /// No earlier holder sends a command after this time.
  Instant EarlierCommandsUntil{};
  Instant VmCommandsFrom{}; ///< When commands to VMs may be sent first.
  /// Jobs stored with a newer version can't have been started by a previous
  /// holder; 0 if unknown.
  std::int64_t LastInheritedVersion = 0;
};

class Holder : public std::enable_shared_from_this<Holder> {
public:
  Holder(SiteDeps Deps, OwnershipTimings Timeouts, OwnershipClaim Claim);

  void run();
  /// Sends no further commands. Active runs continue.
  void stop();
  /// Stores pending progress, after any transaction in flight.
  /// \param Deadline no call to the table lasts longer.
  /// \returns whether all progress is stored or another holder stores it.
  Async<bool> flush(Instant Deadline);

  /// Applies a change that a daemon has just stored, without waiting for the
  /// table's list of changes. Ignored until all jobs are loaded.
  void applyNotifiedChange(const JobChange &Change);

  OwnershipLease &ownership() { return this->Ownership; }
  void configure(const SiteConfiguration &Configuration);
  void addWaves(const std::vector<MaintenanceWave> &Waves);
  /// Schedules again, after SiteDeps::Evacuations has changed.
  void applyEvacuations() { this->SchedulingEvent.notify(); }

  /// \returns whether all accepted jobs have been loaded.
  bool ready() const { return this->Loaded; }
  std::optional<JobState> stateOf(const JobId &Job) const;
  int pendingJobs(const QueueId &Queue) const;
  /// \returns the load by which jobs are admitted, at most LoadSummaryInterval
  /// old; none if jobs are not refused or not all of them have been loaded.
  std::shared_ptr<const overload::LoadSummary> load();
  /// \returns the same, encoded with its age; empty if there is none.
  std::string encodedLoad();

private:
  Async<void> loadJobsAndStart();
  Async<bool> claimProgressHead();
  Async<void> watchJobs();
  Async<void> watchRegistry();
  Async<void> scheduleLoop();
  Async<void> storeProgressLoop();
  /// \returns whether all pending progress was stored.
  Async<bool> storeProgress();
  Async<bool> storeProgressBatch(std::span<const ProgressChange> Changes);
  Async<void> removeExpiredJobs(Instant Now);
  Async<void> askAdvice(AdviceRequest Request);
  Async<void> applyStoredChanges(std::vector<JobChange> Changes);
  void applyChange(const JobChange &Change, const JobProgress *Progress);
  void applyRegistry(const RegistrySnapshot &Snapshot);
  void sendCommand(Command &Issued);
  void publishGauges();
  /// \returns whether the operators' rows are known well enough to start tasks.
  bool knowsOperatorRows(Instant Now);
  /// Loads what earlier holders have learned about run times, then logs the
  /// accuracy of the forecasts and stores what was learned.
  Async<void> runTimesLoop();
  void publishRunTimeAccuracy();

  SiteDeps Deps;
  OwnershipClaim Claim;
  OwnershipLease Ownership;
  Scheduler JobScheduler;
  AsyncEvent SchedulingEvent;
  AsyncEvent StoreEvent;
  std::shared_ptr<LinkContext> Context;
  std::map<UpstreamId, std::shared_ptr<UpstreamLink>> Links;
  std::map<UpstreamId, Instant> MissingFromRegistrySince;
  std::shared_ptr<VmCoordinator> Coordinator;
  std::shared_ptr<EvacuationPublisher> Publisher;
  bool PublisherStarted = false;
  bool Loaded = false;
  bool Storing = false;
  std::vector<JobId> Unremoved; ///< Expired jobs that may have rows left.
  /// Calls that store progress end by then; moved forward by a planned stop.
  Instant StoreDeadline = Instant::max();
  std::int64_t JobsVersion = 0;
  Instant JobsReadAt{}; ///< When the last successful read of jobs was sent.
  bool JobsAreStale = false;
  /// Why nothing was started in the last round.
  StartHold LastHold = StartHold::None;
  static constexpr milliseconds StoreTimeout{900};
  static constexpr milliseconds MaxStoreTimeout{3600};
  /// Of transactions on progress, which the table works off in turn.
  AdaptiveTimeLimit StoreLimit{StoreTimeout, MaxStoreTimeout};
  std::int64_t HeadVersion = 0; ///< Version of the progress head row.
  std::int64_t BatchNumber = 0;
  RunTimeStorage RunTimesStored;
  std::shared_ptr<const overload::LoadSummary> Load;
  Instant LoadComputedAt{};
};

} // namespace sardinerill::site
