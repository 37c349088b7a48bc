#pragma once

#include "sardinerill/membership/membership.h"
#include "sardinerill/platform/iplatform.h"

/// \file
/// The daemons' rows in the platform's table.

namespace sardinerill {

/// Registers a process under its VM's name with an incarnation above all
/// before. Blocks.
/// \returns the incarnation; PlatformUnavailable if it can't be told.
Result<std::uint64_t> registerDaemon(ITable &Table, const DaemonName &Wanted,
                                     const Contact &Where);

/// Takes the row of \p Self away at a planned stop. Blocks.
Result<void> signOff(ITable &Table, const DaemonName &Self);

/// Reads every daemon's row; malformed ones are left out. Blocks.
Result<std::map<DaemonId, Contact>> readRoster(ITable &Table);

} // namespace sardinerill
