#pragma once

/// \file
/// Switches of the optional scheduling features.

namespace sardinerill::site {

/// Each feature is off by default. See docs/OPERATIONS.md for the keys of the
/// policy file.
struct SchedulingPolicy {
  /// Divides the VMs among the pools in proportion to their need when the VMs
  /// are too few for all of them.
  bool DivideScarceVms = false;
  /// Forecasts run times from finished runs instead of one factor a queue.
  bool LearnRunTimes = false;
  /// Serves organisations by weighted shares of what they have running while
  /// work waits.
  bool FairShares = false;
  /// Refuses jobs that can't end while they are still of use to their caller.
  bool RefuseUnservable = false;
  /// Takes the measured speed of upstreams into account.
  bool CompareUpstreamSpeed = false;
  /// A holder that is cut off from the table hands over to another daemon.
  bool HandOverWhenCutOff = false;
  friend bool operator==(const SchedulingPolicy &,
                         const SchedulingPolicy &) = default;
};

} // namespace sardinerill::site
