#pragma once

#include "sardinerill/fleet/fleettypes.h"
#include "sardinerill/platform/iplatform.h"

#include <nlohmann/json.hpp>

/// \file
/// Log of the fleet configuration's changes. The platform's table stores a head
/// row, whose version each change increments by one, and one row per change.
/// Snapshots of the document are written to the object store at intervals.

namespace sardinerill {

/// The fleet document at one version.
struct FleetSnapshot {
  FleetVersion Version = 0;
  nlohmann::json Document = nlohmann::json::object();
  /// Revision of the head row at this version; 0 if unknown or if there is no
  /// head row yet. A change is committed only if the head row still has this
  /// revision. Outdated after append has stored a snapshot, so call catchUp
  /// before the next append.
  Revision HeadRevision = 0;
  /// Version of the newest snapshot in the object store.
  FleetVersion SnapshotVersion = 0;
};

/// A proposed change.
struct FleetChange {
  /// Version that the patch is based on.
  FleetVersion BaseVersion = 0;
  nlohmann::json Patch;
  std::string Author;
  /// Additional conditions of the commit, such as an unchanged lease row of the
  /// duty that makes the change.
  std::vector<RowCondition> Conditions;
};

/// Reads the log and appends to it. All calls block.
class FleetLog {
public:
  explicit FleetLog(IPlatform &Platform) : Platform(Platform) {}

  /// Reads all changes after \p Known. The version never decreases: if the head
  /// row is older, for example when read from a stale replica of the table, \p
  /// Known is returned unchanged.
  Result<FleetSnapshot> catchUp(const FleetSnapshot &Known);

  /// Appends \p Change if it is based on the newest version.
  /// \returns the new snapshot; VersionConflict if another change was committed
  /// first; ConfigInvalid listing every error; PlatformUnavailable if the
  /// outcome is unknown.
  Result<FleetSnapshot> append(const FleetSnapshot &Newest,
                               const FleetChange &Change);

private:
  Result<FleetSnapshot> loadSnapshot(FleetVersion Version);
  void storeSnapshot(const FleetSnapshot &Current);

  IPlatform &Platform;
};

} // namespace sardinerill
