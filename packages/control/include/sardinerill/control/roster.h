#pragma once

#include "sardinerill/membership/membership.h"
#include "sardinerill/platform/iplatform.h"

/// \file
/// The roster: one row per daemon in the platform's table.

namespace sardinerill {

/// Registers a daemon process under its VM's name, with an incarnation number
/// higher than the one in the VM's row, if there is one. Blocks.
/// \param Requested its incarnation is used if it is higher than the stored
/// one. \returns the incarnation; PlatformUnavailable if the outcome of the
/// write is unknown; VersionConflict after repeated conflicts.
Result<std::uint64_t> registerDaemon(ITable &Table,
                                     const DaemonIdentity &Requested,
                                     const PeerEndpoint &Endpoint);

/// Stores the row of a process that already runs as \p Self, if it is missing
/// or belongs to an earlier incarnation. Blocks.
/// \returns VersionConflict if a higher incarnation is stored: the process has
/// been succeeded, or its clock was set back and it was never the newest;
/// PlatformUnavailable if the call has to be repeated.
Result<void> renewRegistration(ITable &Table, const DaemonIdentity &Self,
                               const PeerEndpoint &Endpoint);

/// Deletes the row of \p Self at a planned stop. Does nothing if the row
/// belongs to another incarnation. Blocks.
Result<void> deregisterDaemon(ITable &Table, const DaemonIdentity &Self);

/// Reads the rows of all daemons; malformed rows are logged and skipped.
/// Blocks.
Result<std::map<DaemonId, PeerEndpoint>> readRoster(ITable &Table);

} // namespace sardinerill
