#pragma once

#include "sardinerill/http/httptypes.h"
#include "sardinerill/scheduling/schedulingtypes.h"

#include "sardinerill/base/errors.h"

#include <optional>

/// \file
/// What operators and upstreams have written for the system to read.

namespace sardinerill::site {

struct OperatorView {
  /// None: not written yet, or unchanged in a list of changes.
  std::optional<SiteConfiguration> Configuration;
  std::vector<MaintenanceWave> Waves;
  std::int64_t Version = 0; ///< Position for the next look at changes.
  int Unreadable = 0;       ///< Rows that were skipped.
};

struct RegistryView {
  std::vector<UpstreamReport> Upstreams;
  int Unreadable = 0; ///< Rows that were skipped.
};

class ISiteSource {
public:
  virtual ~ISiteSource() = default;
  virtual Async<Result<OperatorView>> readOperator(Duration Limit) = 0;
  virtual Async<Result<OperatorView>> operatorChanges(std::int64_t Version,
                                                      Duration Wait) = 0;
  virtual Async<Result<RegistryView>> readRegistry(Duration Limit) = 0;
  /// Shows operators how far a maintenance wave is.
  virtual Async<Result<void>> publishWave(std::int64_t Wave, bool Completed,
                                          Duration Limit) = 0;
};

} // namespace sardinerill::site
