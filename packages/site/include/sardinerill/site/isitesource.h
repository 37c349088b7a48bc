#pragma once

#include "sardinerill/evacuation/evacuationstatus.h"
#include "sardinerill/evacuation/zoneevacuations.h"
#include "sardinerill/http/httptypes.h"
#include "sardinerill/scheduling/schedulingtypes.h"

#include "sardinerill/base/errors.h"

#include <optional>

/// \file
/// Access to the operators' configuration, maintenance waves and the registry
/// of upstreams.

namespace sardinerill::site {

struct OperatorSnapshot {
  /// Empty if no configuration exists, or, in a result of
  /// waitForOperatorChanges(), if it has not changed.
  std::optional<SiteConfiguration> Configuration;
  std::vector<MaintenanceWave> Waves;
  /// Requests to evacuate a zone, and in a result of waitForOperatorChanges()
  /// their removals.
  std::vector<EvacuationRow> Evacuations;
  bool IsFullRead = false;  ///< Holds all rows, not only changes.
  std::int64_t Version = 0; ///< Position from which to request further changes.
  int SkippedRows = 0;      ///< Number of rows that could not be decoded.
  /// Of the configuration, older versions included.
  int ConfigurationRows = 0;
  std::size_t ConfigurationBytes = 0; ///< Size of these rows.
  Duration DecodeTime{};              ///< Spent on decoding all rows.
};

struct RegistrySnapshot {
  std::vector<UpstreamReport> Upstreams;
  int SkippedRows = 0; ///< Number of rows that could not be decoded.
};

class ISiteSource {
public:
  virtual ~ISiteSource() = default;
  /// Reads the whole configuration, all maintenance waves and all requests to
  /// evacuate a zone.
  virtual Async<Result<OperatorSnapshot>>
  readOperatorSnapshot(Duration Timeout) = 0;
  /// Waits up to \p Wait for changes after \p Version.
  virtual Async<Result<OperatorSnapshot>>
  waitForOperatorChanges(std::int64_t Version, Duration Wait) = 0;
  virtual Async<Result<RegistrySnapshot>> readRegistry(Duration Timeout) = 0;
  /// Publishes the state of a maintenance wave to operators.
  virtual Async<Result<void>> publishWave(std::int64_t Wave, bool Completed,
                                          Duration Timeout) = 0;
  /// Publishes the state of the evacuation of \p Zone to operators.
  /// \param State none: removes what was published.
  virtual Async<Result<void>>
  publishEvacuation(ZoneId Zone, std::optional<EvacuationState> State,
                    Duration Timeout) = 0;
  /// Reads the published states of all evacuations.
  virtual Async<Result<std::map<ZoneId, EvacuationState>>>
  readPublishedEvacuations(Duration Timeout) = 0;
};

} // namespace sardinerill::site
