#pragma once

#include "sardinerill/fleet/fleettypes.h"
#include "sardinerill/platform/iplatform.h"

#include <nlohmann/json.hpp>

/// \file
/// The fleet's changes in the platform's table: one head row that every change
/// moves on by one, a row for each change, and a snapshot object now and then.

namespace sardinerill {

/// A version and the document it stands for.
struct FleetSnapshot {
  FleetVersion Version = 0;
  nlohmann::json Document = nlohmann::json::object();
  /// Revision of the head row that names this version; only a change made on
  /// it can be committed. 0 where it is not known.
  Revision HeadRevision = 0;
  /// Newest version that the object store holds whole.
  FleetVersion Stored = 0;
};

/// A change as someone proposes it.
struct FleetChange {
  FleetVersion MadeOn = 0;
  nlohmann::json Patch;
  std::string Author;
  /// Further conditions, such as the row of the duty that makes the change.
  std::vector<Condition> Guards;
};

/// Reads and extends the log. Calls block.
class FleetLog {
public:
  explicit FleetLog(IPlatform &Platform) : Platform(Platform) {}

  /// Reads what came after \p Known. The head never goes back: an older head,
  /// as from a stale replica of the table, leaves \p Known as it is.
  Result<FleetSnapshot> catchUp(const FleetSnapshot &Known);

  /// Appends \p Change if it was made on the newest version.
  /// \returns the new snapshot; VersionConflict if another change came first;
  /// ConfigInvalid with every fault; PlatformUnavailable if not known.
  Result<FleetSnapshot> append(const FleetSnapshot &Newest,
                               const FleetChange &Change);

private:
  Result<FleetSnapshot> loadSnapshot(FleetVersion Version);
  void storeSnapshot(const FleetSnapshot &Current);

  IPlatform &Platform;
};

} // namespace sardinerill
