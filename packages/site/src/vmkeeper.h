#pragma once

#include "async.h"

#include "sardinerill/base/metrics.h"
#include "sardinerill/ownership/ownership.h"
#include "sardinerill/scheduling/scheduler.h"
#include "sardinerill/site/isitesource.h"
#include "sardinerill/site/ivmcontrol.h"
#include "sardinerill/site/sitesettings.h"

/// \file
/// Maintenance waves and moves of VMs between pools.

namespace sardinerill::site {

struct VmKeeperParts {
  boost::asio::any_io_executor Executor;
  const IClock &Clock;
  ISiteSource &Source;
  ISiteVmControl &Vms;
  const SiteSettings &Settings;
  Scheduler &Plan;
  HeldOwnership &Ownership;
  Metrics &Figures;
};

class VmKeeper {
public:
  /// \param QuietUntil an earlier holder may still give orders until then.
  VmKeeper(VmKeeperParts Parts, Instant QuietUntil)
      : Parts(Parts), QuietUntil(QuietUntil) {}

  Async<void> run();
  void stop() { this->Stopped = true; }
  void configure(const SiteConfiguration &Next) { this->Configuration = Next; }
  void addWaves(const std::vector<MaintenanceWave> &Waves);

private:
  VmKeeperParts Parts;
  Instant QuietUntil;
  SiteConfiguration Configuration;
  bool Stopped = false;
};

} // namespace sardinerill::site
