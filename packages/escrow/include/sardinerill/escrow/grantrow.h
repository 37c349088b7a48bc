#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/escrow/escrowtypes.h"

/// \file
/// Transitions of a resource's row in the table; pure functions.

namespace sardinerill {

/// \returns the units held by all.
unsigned totalUnits(const GrantRow &Row);

/// \returns the part of \p Holder; nothing where it has none.
Grant grantOf(const GrantRow &Row, const DaemonId &Holder);

/// Takes over a limit from a newer fleet version. When it drops below what is
/// held, each holder gets a target in proportion; units stay until lowered.
GrantRow withLimit(const GrantRow &Row, unsigned Limit, std::uint64_t Version);

/// Gives \p Holder up to \p Wanted more units of what is free.
GrantRow withRaised(const GrantRow &Row, const DaemonId &Holder,
                    unsigned Wanted);

/// Brings \p Holder down to \p Units; never up.
GrantRow withLowered(const GrantRow &Row, const DaemonId &Holder,
                     unsigned Units);

/// Moves the part of \p From, a predecessor on the same VM, to \p To.
GrantRow withInherited(const GrantRow &Row, const DaemonId &From,
                       const DaemonId &To);

/// Drops the part of a holder whose work can't be running any more.
GrantRow withReclaimed(const GrantRow &Row, const DaemonId &Gone);

/// Row content as it stands in the table.
std::string encodeGrantRow(const GrantRow &Row);
Result<GrantRow> decodeGrantRow(const std::string &Text);

} // namespace sardinerill
