#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"
#include "sardinerill/platform/iplatform.h"

#include <optional>

/// \file
/// A duty that one daemon does at a time: a row in the table that its holder
/// moves on and that others take over when it stands still.

namespace sardinerill {

/// What a daemon saw of a duty's row.
struct DutyView {
  DaemonId Holder;
  std::uint64_t Fence = 0; ///< Grows with each change of holder.
  Revision Rev = 0;
  /// The revision was first seen then, by this daemon's clock.
  Instant SeenAt{};
};

/// What to do with a duty now.
enum class DutyAction { Wait, Take, Renew };

/// Decides about one duty; pure.
/// \param LeaseTime how long a row may stand still before it is taken over.
DutyAction decideDuty(const DutyView &Seen, const DaemonId &Self, Instant Now,
                      Duration LeaseTime);

/// Reads the duty's row. Blocks.
Result<DutyView> readDuty(ITable &Table, const std::string &Duty);

/// Takes or renews a duty that was seen as \p Seen; harmless if it has changed
/// since. Blocks.
/// \returns the view of the holder; VersionConflict if someone else was first.
Result<DutyView> holdDuty(ITable &Table, const std::string &Duty,
                          const DutyView &Seen, const DaemonId &Self);

/// Hands a duty on at a planned stop. Blocks.
Result<void> dropDuty(ITable &Table, const std::string &Duty,
                      const DutyView &Held);

/// \returns the condition that makes a write fail once the duty has moved on.
Condition fenceOf(const std::string &Duty, const DutyView &Held);

} // namespace sardinerill
