#pragma once

#include "async.h"

#include "sardinerill/base/metrics.h"
#include "sardinerill/evacuation/evacuationstatus.h"
#include "sardinerill/ownership/ownership.h"
#include "sardinerill/scheduling/scheduler.h"
#include "sardinerill/site/isitesource.h"

/// \file
/// Shows operators the state of evacuations: rows of the table, a gauge and
/// log lines. Part of the holder.

namespace sardinerill::site {

struct EvacuationPublisherDeps {
  const IClock &Clock;
  ISiteSource &Source;
  const Scheduler &JobScheduler;
  const OwnershipLease &Ownership;
  const ZoneEvacuations &Evacuations;
  Metrics &Stats;
  std::function<bool(const ZoneId &)> HasVmIn;
};

class EvacuationPublisher
    : public std::enable_shared_from_this<EvacuationPublisher> {
public:
  explicit EvacuationPublisher(EvacuationPublisherDeps Deps)
      : Deps(std::move(Deps)) {}

  /// Runs until stop(). Called once the registry has been read.
  Async<void> run();
  void stop() { this->Stopped = true; }

private:
  Async<void> publish();
  /// \returns whether the published rows are known.
  Async<bool> listPublished();
  void report(const std::map<ZoneId, ZoneLoad> &Loads);

  EvacuationPublisherDeps Deps;
  EvacuationStatus Status;
  bool Stopped = false;
  /// Requests whose zone was reported as unknown, by version.
  std::map<ZoneId, std::int64_t> ReportedUnknown;
  Instant NextWaitLog{};
};

} // namespace sardinerill::site
