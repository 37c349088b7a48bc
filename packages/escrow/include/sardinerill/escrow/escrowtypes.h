#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Escrow divides a limit (a team's ceiling, a VM's slots) into units that
/// are granted to daemons. A daemon starts work within its own grant without
/// coordinating with the others.

namespace sardinerill {

/// Name of a limited resource, such as "team/ingoma" or "vm/w1".
using ResourceId = StrongId<struct ResourceTag>;
ResourceId resourceOf(const TeamId &Team);
ResourceId resourceOf(const VmId &Vm);

/// One daemon's share of a resource, as recorded in the table.
struct Grant {
  DaemonId Holder;
  /// Units reserved for the holder. Only the holder lowers this number, except
  /// that a later daemon on its VM may inherit the units, and those of a
  /// removed daemon are reclaimed.
  unsigned Units = 0;
  /// Number of units that the holder may keep; equal to Units if no reduction
  /// is requested.
  unsigned AllowedUnits = 0;
  friend bool operator==(const Grant &, const Grant &) = default;
};

/// The table's row of one resource. The sum of the units exceeds the limit only
/// after the limit was lowered, and no units are granted until the sum is below
/// the limit again.
struct GrantRow {
  unsigned Limit = 0;
  /// Fleet version that the limit comes from.
  std::uint64_t LimitVersion = 0;
  std::vector<Grant> Grants;
  friend bool operator==(const GrantRow &, const GrantRow &) = default;
};

/// Number of a loan, unique per lender.
using LoanNumber = std::uint64_t;

/// Identifies a loan fleet-wide.
struct LoanId {
  DaemonId Lender;
  LoanNumber Number = 0;
  friend auto operator<=>(const LoanId &, const LoanId &) = default;
};

/// Request of a borrower for units.
struct LoanRequest {
  /// Number of the request, unique per borrower.
  std::uint64_t Number = 0;
  ResourceId Resource;
  unsigned Units = 0;
  /// If no unit is free, the lender delays its reply until a unit is free or a
  /// timeout expires, instead of refusing at once.
  bool MayWait = false;
  friend bool operator==(const LoanRequest &, const LoanRequest &) = default;
};

/// Reply of a lender. The borrower may start work on the units until \p
/// StartWindow after it sent the request.
struct LoanOffer {
  LoanId Id;
  unsigned Units = 0;
  Duration StartWindow{0};
  /// Fleet version of the limit that the lender applies.
  std::uint64_t LimitVersion = 0;
  /// Longest run that the lender assumes.
  Duration MaxRun{0};
  friend bool operator==(const LoanOffer &, const LoanOffer &) = default;
};

/// Origin of the unit that a running task uses.
struct UnitSource {
  /// The loan that provided the unit; its lender is empty for an own unit.
  LoanId Loan;
  bool isOwn() const { return this->Loan.Lender.empty(); }
  friend bool operator==(const UnitSource &, const UnitSource &) = default;
};

/// Time limits that must be the same on all daemons.
struct EscrowTimeLimits {
  /// How long a borrower may start work under a loan.
  Duration LoanWindow = seconds(2);
  /// Run time after which a VM stops any task.
  Duration MaxRun = seconds(30);
  /// Allowance for a paused daemon: a task may be sent up to this long after
  /// its unit was acquired without exceeding a limit.
  Duration PauseMargin = seconds(5);

  /// \returns the longest time after lending a unit that a task may use it.
  Duration maxUnitUse() const {
    return this->LoanWindow + this->MaxRun + this->PauseMargin;
  }
};

} // namespace sardinerill
