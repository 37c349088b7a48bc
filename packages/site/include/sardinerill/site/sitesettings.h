#pragma once

#include "sardinerill/http/httptypes.h"
#include "sardinerill/scheduling/schedulingpolicy.h"
#include "sardinerill/scheduling/schedulingtypes.h"

/// \file
/// Settings of one daemon.

namespace sardinerill::site {

struct SiteSettings {
  std::string Name;
  ZoneId Zone;
  std::string Address;
  Endpoint CallerEndpoint;
  Endpoint ReadinessEndpoint;
  Endpoint PeerEndpoint; ///< Listener for other daemons and for metrics.
  Endpoint Store;
  Endpoint VmControl;
  Endpoint Advisor; ///< Not valid if no queue needs advice.
  SiteBounds Bounds;
  SchedulingPolicy Policy;
  /// Time from the stop signal until the process must have exited.
  Duration StopGracePeriod = seconds(6);
  /// Call rates of the VM control, read from the settings. The daemon does not
  /// enforce them.
  int VmReadsPerSecond = 1;
  int VmCommandsPerSecond = 1;
  /// Set if all daemons of a new site start together. This one then treats the
  /// list of peers as complete only after the second read.
  bool FirstStart = false;
  /// Capacity of the VM, used to prefer VMs with more capacity when ownership
  /// is claimed: min(CPU in percent of a core, link speed in Mbit/s).
  double Capacity = 1;
  friend bool operator==(const SiteSettings &, const SiteSettings &) = default;
};

} // namespace sardinerill::site
