#pragma once

#include "sardinerill/http/httptypes.h"
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
  Duration StopGracePeriod = seconds(6);
  int VmReadsPerSecond = 1;
  int VmCommandsPerSecond = 1;
  bool FirstStart = false;
  /// Capacity of the VM, used to prefer strong VMs when ownership is claimed:
  /// the lower of its processor (cores in percent) and its link (Mbit/s).
  double Capacity = 1;
  friend bool operator==(const SiteSettings &, const SiteSettings &) = default;
};

} // namespace sardinerill::site
