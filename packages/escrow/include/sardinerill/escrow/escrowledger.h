#pragma once

#include "sardinerill/escrow/escrowtypes.h"

#include <map>
#include <optional>

/// \file
/// One daemon's units of one resource and the tasks that may start on them.

namespace sardinerill {

/// Accounts for one daemon's units of one resource. Does no I/O; the caller
/// passes in the time.
///
/// Invariant: the daemon's own units that are in use or lent never exceed the
/// units that the table's row grants it. The ledger therefore stops using units
/// before a reduction is sent and uses new units only after a raise was
/// confirmed.
class EscrowLedger {
public:
  EscrowLedger(DaemonId Self, EscrowTimeLimits Times)
      : Self(std::move(Self)), Times(Times) {}

  /// Acquires a unit for a new task.
  /// \returns the unit's origin, or nothing when no unit is free.
  std::optional<UnitSource> tryAcquire(Instant Now);
  /// Releases the unit of a task that is known to have ended.
  void release(const UnitSource &Source);

  /// Lends free own units.
  /// \returns an offer of up to \p MaxUnits units; 0 units when none is free.
  /// The caller sets LoanOffer::LimitVersion.
  LoanOffer lend(unsigned MaxUnits, Instant Now);
  /// Adds the loan offered in reply to a request that was sent at \p SentAt.
  void acceptLoan(const LoanOffer &Offer, Instant SentAt);
  /// Handles the return of a lent loan by its borrower.
  void endLentLoan(LoanNumber Number);
  /// Removes loans whose time has ended: lent ones, and borrowed ones on which
  /// no task runs. Also ends the reservation of inherited units.
  /// \returns the borrowed loans that ended and must be returned.
  std::vector<LoanId> removeExpiredLoans(Instant Now);
  /// Removes borrowed loans on which no task runs.
  /// \returns the loans that must be returned.
  std::vector<LoanId> removeIdleLoans();

  /// Applies this daemon's grant after the row was read or a raise confirmed.
  void applyGrant(const Grant &Confirmed);
  /// Counts units of a predecessor on this VM as in use until its tasks must
  /// have ended.
  void applyInherited(unsigned Units, Instant Now);
  /// Prevents starts on own units until applyGrant() is called, and on the
  /// loans borrowed so far for good. Called when the limit has changed.
  void suspendStarts(Instant Now);
  /// \returns whether \p Loan is currently borrowed.
  bool hasLoan(const LoanId &Loan) const {
    return this->BorrowedLoans.contains(Loan);
  }
  /// Applies new time limits. If runs may now be longer, no more tasks start
  /// under the loans borrowed so far, because their lenders assume shorter
  /// runs.
  void setTimes(EscrowTimeLimits NewTimes, Instant Now);
  bool areStartsSuspended() const { return this->StartsSuspended; }

  /// Stops using free own units before the reduction is sent to the table.
  /// \param Keep number of units to keep even if they are free.
  /// \returns the value for GrantOperation::LowerTo, or nothing if the grant
  /// cannot be lowered.
  std::optional<unsigned> prepareLowering(unsigned Keep);

  /// \returns the number of own units that are neither in use nor lent.
  unsigned freeOwn() const;
  /// \returns the number of tasks that could start now.
  unsigned available(Instant Now) const;
  unsigned granted() const { return this->Granted; }
  unsigned allowedUnits() const { return this->AllowedUnits; }
  /// \returns the number of tasks running on own and borrowed units.
  unsigned running() const;
  /// \returns the number of own units in use: by this daemon's tasks, lent out,
  /// or inherited from a predecessor.
  unsigned ownUnitsInUse() const;
  /// \returns whether no unit is granted, reserved or borrowed.
  bool holdsNoUnits() const;

private:
  /// Own units that are lent, or that were inherited and may still be used by
  /// the predecessor's tasks.
  struct UnitReservation {
    unsigned Units = 0;
    Instant ExpiresAt;
  };
  struct BorrowedLoan {
    unsigned Units = 0;
    unsigned Running = 0;
    Instant StartUntil;
  };

  DaemonId Self;
  EscrowTimeLimits Times;
  unsigned Granted = 0;
  unsigned AllowedUnits = 0;
  unsigned RunningOwn = 0;
  bool StartsSuspended = false;
  LoanNumber LastLoan = 0;
  std::map<LoanNumber, UnitReservation> ReservedUnits;
  std::map<LoanId, BorrowedLoan> BorrowedLoans;
};

} // namespace sardinerill
