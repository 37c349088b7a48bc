#pragma once

#include "jobtable.h"
#include "upstreamlink.h"
#include "vmkeeper.h"

#include "sardinerill/site/isitesource.h"
#include "sardinerill/site/sitesettings.h"

#include <span>

/// \file
/// What the one daemon does that gives the orders: it follows accepted jobs and
/// the registry, lets the scheduler decide, carries out its orders and stores
/// progress.

namespace sardinerill::site {

/// The parts of a daemon that a holder works with.
struct HolderParts {
  boost::asio::any_io_executor Executor;
  const IClock &Clock;
  IStore &Store;
  ISiteSource &Source;
  IUpstreamClients &Upstreams;
  ISiteVmControl &Vms;
  IAdvisor *Advisor = nullptr;
  JobTable &Jobs;
  Metrics &Figures;
  const SiteSettings &Settings;
};

/// How the orders came to this daemon.
struct Succession {
  std::int64_t Token = 0; ///< Version of the row of the claim.
  int Term = 0;
  Predecessor Before = Predecessor::None;
  Instant ClaimSentAt{};
  Instant PredecessorUntil{}; ///< It gives no orders later than this.
  /// Jobs stored with a newer version were not taken on by any predecessor; 0:
  /// not known.
  std::int64_t QuietVersion = 0;
};

class Holder : public std::enable_shared_from_this<Holder> {
public:
  Holder(HolderParts Parts, OwnershipTimes Times, Succession From);

  void run();
  /// Gives no further orders; what runs goes on.
  void stop();
  /// Waits until progress is stored, at most for \p Limit.
  Async<void> flush(Duration Limit);

  /// Takes in a change that another daemon has stored, ahead of the table's
  /// list of changes.
  void hear(const JobChange &Change);

  HeldOwnership &ownership() { return this->Ownership; }
  void configure(const SiteConfiguration &Configuration);
  void addWaves(const std::vector<MaintenanceWave> &Waves);

  /// \returns whether all accepted jobs are known here.
  bool ready() const { return this->Loaded; }
  std::optional<JobState> stateOf(const JobId &Job) const;
  int pendingJobs(const QueueId &Queue) const;

private:
  Async<void> loadLoop();
  Async<bool> takeHead();
  Async<void> followJobs();
  Async<void> followRegistry();
  Async<void> decideLoop();
  Async<void> storeLoop();
  Async<void> storeOnce();
  Async<bool> storeBatch(std::span<const ProgressChange> Changes);
  Async<void> askAdvice(AdviceOrder Question);
  Async<void> takeOn(std::vector<JobChange> Changes);
  void take(const JobChange &Change, const JobProgress *Progress);
  void take(const RegistryView &View);
  void carryOut(Order &Wanted);
  void publishFigures();

  HolderParts Parts;
  Succession From;
  HeldOwnership Ownership;
  Scheduler Plan;
  Signal Decide;
  Signal Store;
  std::shared_ptr<LinkContext> Context;
  std::map<UpstreamId, std::shared_ptr<UpstreamLink>> Links;
  std::map<UpstreamId, Instant> MissingSince;
  std::shared_ptr<VmKeeper> Keeper;
  bool Loaded = false;
  bool Storing = false;
  std::int64_t JobsVersion = 0;
  Instant JobsSeenAt{}; ///< When the newest view of the jobs was asked for.
  bool ViewIsStale = false;
  std::int64_t HeadVersion = 0; ///< Of the row before the next transaction.
  std::int64_t BatchNumber = 0;
};

} // namespace sardinerill::site
