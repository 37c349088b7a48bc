#pragma once

#include "sardinerill/escrow/escrowtypes.h"

#include <functional>
#include <optional>
#include <vector>

/// \file
/// Interface to fleet-wide limits for code that starts tasks.

namespace sardinerill {

/// Allocates units of limited resources.
class IEscrow {
public:
  virtual ~IEscrow() = default;
  /// Acquires a unit for a new task. Does not block.
  /// \returns the unit's origin, or nothing when no unit is free.
  virtual std::optional<UnitSource> tryAcquire(const ResourceId &Resource) = 0;
  /// Releases the unit of a task that is known to have ended.
  virtual void release(const ResourceId &Resource,
                       const UnitSource &Source) = 0;
  /// Sets the number of units needed for waiting work, which are acquired in
  /// the background. The request lapses after a second unless it is repeated.
  virtual void requestUnits(const ResourceId &Resource, unsigned Units) = 0;
  /// \returns the number of tasks that could start now.
  virtual unsigned available(const ResourceId &Resource) const = 0;
  /// \returns the number of tasks started by this daemon that still run.
  virtual unsigned running(const ResourceId &Resource) const = 0;
};

/// Sends loan messages to other daemons. Delivery is not guaranteed.
class ILoanPeers {
public:
  virtual ~ILoanPeers() = default;
  virtual void sendLoanRequest(const DaemonId &Lender,
                               const LoanRequest &Request) = 0;
  virtual void sendLoanReply(const DaemonId &Borrower,
                             std::uint64_t RequestNumber,
                             const ResourceId &Resource,
                             const LoanOffer &Offer) = 0;
  virtual void sendLoanReturn(const LoanId &Loan,
                              const ResourceId &Resource) = 0;
  /// \returns the daemons that can currently be reached.
  virtual std::vector<DaemonId> reachable() const = 0;
};

} // namespace sardinerill
