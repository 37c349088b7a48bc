#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Escrow divides a limit (a team's ceiling, a worker's slots) into units that
/// daemons hold, so that each may start work inside its own part unasked.

namespace sardinerill {

/// Names what is limited, such as "team/ingoma" or "vm/w1".
using ResourceId = StrongId<struct ResourceTag>;
ResourceId resourceOf(const TeamId &Team);
ResourceId resourceOf(const VmId &Vm);

/// One daemon's part of a resource, as the table has it.
struct Grant {
  DaemonId Holder;
  /// Units that nobody else may be given. Only the holder lowers them.
  unsigned Units = 0;
  /// What the holder is to come down to; equal to Units where nothing is asked.
  unsigned Target = 0;
  friend bool operator==(const Grant &, const Grant &) = default;
};

/// The table's row of one resource. The sum of units passes the limit only
/// right after the limit was lowered, and then no unit is added.
struct GrantRow {
  unsigned Limit = 0;
  /// Fleet version that the limit comes from.
  std::uint64_t LimitVersion = 0;
  std::vector<Grant> Grants;
  friend bool operator==(const GrantRow &, const GrantRow &) = default;
};

/// A loan's number, unique to its lender.
using LoanNumber = std::uint64_t;

/// Identifies a loan everywhere.
struct LoanId {
  DaemonId Lender;
  LoanNumber Number = 0;
  friend auto operator<=>(const LoanId &, const LoanId &) = default;
};

/// What a borrower asks for.
struct LoanRequest {
  /// Number of the question, unique to its asker.
  std::uint64_t Ask = 0;
  ResourceId Resource;
  unsigned Units = 0;
  /// The lender answers when a unit falls free, or after a while, rather than
  /// refuse at once.
  bool MayWait = false;
  friend bool operator==(const LoanRequest &, const LoanRequest &) = default;
};

/// What a lender answers: units to start work with, for \p Window from when the
/// borrower asked.
struct LoanOffer {
  LoanId Id;
  unsigned Units = 0;
  Duration Window{0};
  /// Fleet version of the limit that the lender goes by.
  std::uint64_t LimitVersion = 0;
  /// Longest run that the lender reckons with.
  Duration MaxRun{0};
  friend bool operator==(const LoanOffer &, const LoanOffer &) = default;
};

/// Where the unit of a running task came from.
struct UnitSource {
  /// The loan it was started under; the lender is empty for an own unit.
  LoanId Loan;
  bool isOwn() const { return this->Loan.Lender.empty(); }
  friend bool operator==(const UnitSource &, const UnitSource &) = default;
};

/// Times that every daemon must agree on.
struct EscrowTimes {
  /// How long a borrower may start work under a loan.
  Duration LoanWindow = seconds(2);
  /// Longest that any task runs before its worker stops it.
  Duration MaxRun = seconds(30);
  /// Pause of a daemon between deciding and sending that does no harm.
  Duration PauseMargin = seconds(5);

  /// \returns how long after lending a unit can still be in use.
  Duration settleTime() const {
    return this->LoanWindow + this->MaxRun + this->PauseMargin;
  }
};

} // namespace sardinerill
