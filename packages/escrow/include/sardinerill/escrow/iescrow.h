#pragma once

#include "sardinerill/escrow/escrowtypes.h"

#include <functional>
#include <optional>
#include <vector>

/// \file
/// Limits that hold fleet-wide, as those who start work see them.

namespace sardinerill {

/// Hands out units of limited resources.
class IEscrow {
public:
  virtual ~IEscrow() = default;
  /// Takes a unit to start a task with; never waits.
  virtual std::optional<UnitSource> tryStart(const ResourceId &Resource) = 0;
  /// Gives back the unit of a task that has ended for certain.
  virtual void finish(const ResourceId &Resource, const UnitSource &Source) = 0;
  /// Work waits for \p Units more; they are sought in the background.
  virtual void want(const ResourceId &Resource, unsigned Units) = 0;
  /// \returns units that could start a task now.
  virtual unsigned available(const ResourceId &Resource) const = 0;
  /// \returns tasks running here.
  virtual unsigned running(const ResourceId &Resource) const = 0;
};

/// Loan messages between daemons; delivery is not promised.
class ILoanPeers {
public:
  virtual ~ILoanPeers() = default;
  virtual void askLoan(const DaemonId &Lender, const LoanRequest &Request) = 0;
  virtual void replyLoan(const DaemonId &Borrower, std::uint64_t Ask,
                         const ResourceId &Resource,
                         const LoanOffer &Offer) = 0;
  virtual void returnLoan(const LoanId &Loan, const ResourceId &Resource) = 0;
  /// \returns daemons that can be asked now.
  virtual std::vector<DaemonId> reachable() const = 0;
};

} // namespace sardinerill
