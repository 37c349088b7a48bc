#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/escrow/escrowtypes.h"

/// \file
/// Pure functions that compute changes to a resource's row in the table.

namespace sardinerill {

/// \returns the total units granted to all daemons.
unsigned totalUnits(const GrantRow &Row);

/// \returns the grant of \p Holder, with 0 units if it has none.
Grant grantOf(const GrantRow &Row, const DaemonId &Holder);

/// Applies the limit of a newer fleet version. If the granted units exceed the
/// new limit, each holder's AllowedUnits are reduced in proportion; its units
/// stay granted until it lowers them itself.
GrantRow withLimit(const GrantRow &Row, unsigned Limit, std::uint64_t Version);

/// Grants \p Holder up to \p MaxUnits of the free units.
GrantRow withRaised(const GrantRow &Row, const DaemonId &Holder,
                    unsigned MaxUnits);

/// Lowers the grant of \p Holder to \p Units; never raises it.
GrantRow withLowered(const GrantRow &Row, const DaemonId &Holder,
                     unsigned Units);

/// Moves the grant of \p From, a predecessor on the same VM, to \p To.
GrantRow withInherited(const GrantRow &Row, const DaemonId &From,
                       const DaemonId &To);

/// Removes the grant of \p Holder, none of whose tasks can still be running.
GrantRow withReclaimed(const GrantRow &Row, const DaemonId &Holder);

/// Encodes the row for storage in the table.
std::string encodeGrantRow(const GrantRow &Row);
Result<GrantRow> decodeGrantRow(const std::string &Text);

} // namespace sardinerill
