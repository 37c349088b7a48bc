#pragma once

#include "jobtable.h"
#include "upstreamlink.h"
#include "vmcoordinator.h"

#include "sardinerill/site/isitesource.h"
#include "sardinerill/site/sitesettings.h"

#include <span>

/// \file
/// The part of a daemon that is active while the daemon holds the site's
/// ownership row. There is one holder per site: it follows accepted jobs and
/// the registry, runs the scheduler, sends the resulting commands to upstreams
/// and stores progress.

namespace sardinerill::site {

/// Objects of the daemon that a holder uses. They outlive it.
struct HolderDeps {
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
};

/// A successful claim of ownership, and what is known of the previous holder.
struct OwnershipClaim {
  std::int64_t Token = 0; ///< Fencing token: version of the epoch row.
  int Term = 0;
  PredecessorState Predecessor = PredecessorState::None;
  Instant ClaimSentAt{};
  Instant PredecessorLeaseEnd{}; ///< It sends no commands later than this.
  /// No previous holder has scheduled jobs that were stored with a newer
  /// version; 0 if not known.
  std::int64_t LastInheritedVersion = 0;
};

class Holder : public std::enable_shared_from_this<Holder> {
public:
  Holder(HolderDeps Deps, OwnershipTimings Timeouts, OwnershipClaim Claim);

  void run();
  /// Sends no further commands. Active runs continue.
  void stop();
  /// Stores pending progress. Waits at most \p Timeout for a store that is
  /// already in flight.
  Async<void> flush(Duration Timeout);

  /// Applies a change that a daemon has just stored, before it shows up in the
  /// table's list of changes.
  void applyNotifiedChange(const JobChange &Change);

  OwnershipLease &ownership() { return this->Ownership; }
  void configure(const SiteConfiguration &Configuration);
  void addWaves(const std::vector<MaintenanceWave> &Waves);

  /// \returns whether all accepted jobs have been loaded.
  bool ready() const { return this->Loaded; }
  std::optional<JobState> stateOf(const JobId &Job) const;
  int pendingJobs(const QueueId &Queue) const;

private:
  Async<void> loadLoop();
  Async<bool> claimProgressHead();
  Async<void> followJobs();
  Async<void> followRegistry();
  Async<void> scheduleLoop();
  Async<void> storeLoop();
  Async<void> storeOnce();
  Async<bool> storeBatch(std::span<const ProgressChange> Changes);
  Async<void> askAdvice(AdviceRequest Request);
  Async<void> applyStoredChanges(std::vector<JobChange> Changes);
  void applyChange(const JobChange &Change, const JobProgress *Progress);
  void applyRegistry(const RegistrySnapshot &Snapshot);
  void sendCommand(Command &Issued);
  void publishGauges();

  HolderDeps Deps;
  OwnershipClaim Claim;
  OwnershipLease Ownership;
  Scheduler JobScheduler;
  Signal DecisionSignal;
  Signal StoreSignal;
  std::shared_ptr<LinkContext> Context;
  std::map<UpstreamId, std::shared_ptr<UpstreamLink>> Links;
  std::map<UpstreamId, Instant> MissingSince;
  std::shared_ptr<VmCoordinator> Coordinator;
  bool Loaded = false;
  bool Storing = false;
  std::int64_t JobsVersion = 0;
  Instant JobsReadAt{}; ///< When the last successful read of jobs was sent.
  bool ViewIsStale = false;
  std::int64_t HeadVersion = 0; ///< Version of the progress head row.
  std::int64_t BatchNumber = 0;
};

} // namespace sardinerill::site
