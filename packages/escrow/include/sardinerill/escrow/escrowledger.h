#pragma once

#include "sardinerill/escrow/escrowtypes.h"

#include <map>
#include <optional>

/// \file
/// What one daemon holds of one resource, and what it may start with it.

namespace sardinerill {

/// A daemon's account of one resource. No I/O; time is passed in.
///
/// At every instant the units in use, lent or borrowed against a daemon's grant
/// are at most the units that the table's row has for it. The ledger therefore
/// gives up units before a lowering is sent and takes up units only after a
/// raise was confirmed.
class EscrowLedger {
public:
  EscrowLedger(DaemonId Self, EscrowTimes Times)
      : Self(std::move(Self)), Times(Times) {}

  /// Takes a unit to start a task.
  /// \returns where it came from, or nothing when no unit is free.
  std::optional<UnitSource> tryStart(Instant Now);
  /// Gives back the unit of a task that has ended for certain.
  void finish(const UnitSource &Source);

  /// Lends free own units.
  /// \returns an offer of up to \p Wanted units; 0 units when none is free.
  LoanOffer lend(unsigned Wanted, Instant Now);
  /// Takes an offer that answers a request sent at \p AskedAt.
  void acceptLoan(const LoanOffer &Offer, Instant AskedAt);
  /// A borrower has given its loan back.
  void loanReturned(LoanNumber Number);
  /// Drops what has lapsed.
  /// \returns loans that are over on the borrower's side, to be returned.
  std::vector<LoanId> expire(Instant Now);
  /// Ends borrowed loans that nothing runs under.
  std::vector<LoanId> returnIdleLoans();

  /// The row was read, or a raise of it was confirmed.
  void applyGrant(const Grant &Confirmed);
  /// Units left by a predecessor on this VM: in use until its tasks ended.
  void applyInherited(unsigned Units, Instant Now);
  /// Starts nothing on own units until the row was read again, and nothing more
  /// under loans taken so far; used when the limit has dropped.
  void freeze(Instant Now);
  /// \returns whether \p Loan is borrowed now.
  bool holdsLoan(const LoanId &Loan) const {
    return this->Loans.contains(Loan);
  }
  /// Takes over new times. When runs may be longer, nothing more starts under
  /// loans taken so far: their lenders reckon with the shorter ones.
  void setTimes(EscrowTimes NewTimes, Instant Now);
  bool isFrozen() const { return this->Frozen; }

  /// Gives up own units that are free, before the lowering is sent.
  /// \param Keep units to keep even if they are free.
  /// \returns the units that the row is to be lowered to, if any can go.
  std::optional<unsigned> prepareLowering(unsigned Keep);

  /// \returns own units that are neither in use nor lent.
  unsigned freeOwn() const;
  /// \returns units that could start a task now.
  unsigned available(Instant Now) const;
  unsigned granted() const { return this->Granted; }
  unsigned target() const { return this->Target; }
  /// \returns tasks running here, under own units and loans.
  unsigned running() const;
  /// \returns own units in use: by own tasks, lent out, or left by a
  /// predecessor.
  unsigned committed() const;
  bool isIdle() const;

private:
  struct Lent {
    unsigned Units = 0;
    Instant ReturnAt;
  };
  struct Borrowed {
    unsigned Units = 0;
    unsigned Running = 0;
    Instant StartUntil;
  };

  DaemonId Self;
  EscrowTimes Times;
  unsigned Granted = 0;
  unsigned Target = 0;
  unsigned RunningOwn = 0;
  bool Frozen = false;
  LoanNumber LastLoan = 0;
  std::map<LoanNumber, Lent> LentOut;
  std::map<LoanId, Borrowed> Loans;
};

} // namespace sardinerill
