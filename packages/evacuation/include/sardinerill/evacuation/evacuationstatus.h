#pragma once

#include "sardinerill/evacuation/zoneevacuations.h"

#include <optional>

/// \file
/// The state of evacuations that operators see, and what has to be written for
/// it. At most two writes for each request.

namespace sardinerill::site {

enum class EvacuationState {
  Running,
  Completed, ///< No task runs in the zone.
};

/// A write of the status of one zone.
struct EvacuationStatusWrite {
  ZoneId Zone;
  std::int64_t RequestVersion = 0;
  std::optional<EvacuationState> State; ///< None: the status is removed.
  friend bool operator==(const EvacuationStatusWrite &,
                         const EvacuationStatusWrite &) = default;
};

class EvacuationStatus {
public:
  /// \returns whether the published rows have to be listed, because earlier
  /// holders may have written some, or the outcome of a write is unknown.
  bool needsList() const { return this->NeedsList; }
  /// Sets the rows that operators see.
  void setPublished(const std::map<ZoneId, EvacuationState> &Rows);
  /// \param Known see ZoneEvacuations::known().
  /// \param Idle the zones in which no task runs.
  /// \returns the writes that are missing; nothing while needsList().
  std::vector<EvacuationStatusWrite>
  missingWrites(std::span<const ZoneEvacuation> Known,
                const std::set<ZoneId> &Idle) const;
  /// Records the outcome of a write.
  /// \param Written whether it was confirmed; otherwise it is unknown.
  void recordWrite(const EvacuationStatusWrite &Write, bool Written);

private:
  struct Row {
    /// None: written by an earlier holder, or before a lost answer.
    std::optional<std::int64_t> RequestVersion;
    EvacuationState State = EvacuationState::Running;
  };
  std::map<ZoneId, Row> Published;
  bool NeedsList = true;
};

} // namespace sardinerill::site
