#pragma once

#include "sardinerill/base/ibackgroundexecutor.h"
#include "sardinerill/base/metrics.h"
#include "sardinerill/escrow/escrowledger.h"
#include "sardinerill/escrow/grantoperation.h"
#include "sardinerill/escrow/iescrow.h"
#include "sardinerill/platform/platformcalllimiter.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

/// \file
/// Acquires units for one daemon: from the table while the row has free units,
/// otherwise as loans from other daemons.

namespace sardinerill {

/// Limit of one resource.
struct ResourceLimit {
  ResourceId Resource;
  unsigned Limit = 0;
  /// Fleet version that last changed the limit. Shows that the limit changed in
  /// between even if a daemon missed versions and the limit is the same again.
  std::uint64_t Version = 0;
};

/// Settings of the agent.
struct EscrowAgentOptions {
  DaemonId Self;
  EscrowTimeLimits Times;
  /// Units that were unused for this long are returned to the table if the row
  /// has no free units.
  Duration IdleReturnDelay = seconds(5);
};

/// Manages this daemon's units of all resources. Not thread-safe: all calls are
/// made on the thread on which IBackgroundExecutor runs its completion
/// callbacks.
class EscrowAgent : public IEscrow {
public:
  using AvailabilityHandler = std::function<void(const ResourceId &)>;

  EscrowAgent(EscrowAgentOptions Options, ITable &Table,
              IBackgroundExecutor &Background, ILoanPeers &Peers,
              PlatformCallLimiter &Limiter, const IClock &Clock,
              Metrics &Stats);

  std::optional<UnitSource> tryAcquire(const ResourceId &Resource) override;
  void release(const ResourceId &Resource, const UnitSource &Source) override;
  void requestUnits(const ResourceId &Resource, unsigned Units) override;
  unsigned available(const ResourceId &Resource) const override;
  unsigned running(const ResourceId &Resource) const override;

  /// Sets the handler called when units of a resource may have become free.
  void setAvailabilityHandler(AvailabilityHandler NewHandler) {
    this->Handler = std::move(NewHandler);
  }
  /// Applies the limits and time limits of fleet version \p Version; a resource
  /// that is not in \p Limits gets the limit 0. A newer limit version suspends
  /// starts on a resource's own units until its row was read, and ends starts
  /// on the loans borrowed so far.
  void setLimits(const std::vector<ResourceLimit> &Limits,
                 std::uint64_t Version, EscrowTimeLimits Times);
  /// Removes expired loans, returns idle units and retries pending requests;
  /// called a few times a second.
  void tick();
  /// Inherits the grants that earlier daemon processes on this VM still have in
  /// the table. Calls \p Done with true if there were none left, and with
  /// false if the caller must call again.
  void inheritGrants(const std::function<bool(const DaemonId &)> &IsPredecessor,
                     std::function<void(bool)> Done);
  /// Stops requesting units and returns all free ones; for a planned shutdown.
  void beginDrain();
  /// \returns whether no unit is granted, lent or borrowed any more.
  bool isDrained() const;

  /// \returns a one-line summary of \p Resource for logs and test failures.
  std::string describe(const ResourceId &Resource) const;

  void onLoanRequest(const DaemonId &From, const LoanRequest &Request);
  void onLoanReply(const DaemonId &From, std::uint64_t RequestNumber,
                   const ResourceId &Resource, const LoanOffer &Offer);
  void onLoanReturn(const ResourceId &Resource, LoanNumber Number);

private:
  struct WaitingBorrower {
    DaemonId Borrower;
    std::uint64_t RequestNumber = 0;
    unsigned Units = 0;
    Instant Until;
  };
  struct PendingRequest {
    std::uint64_t Number = 0;
    Instant SentAt;
    bool MayWait = false;
  };
  struct ResourceState {
    explicit ResourceState(EscrowLedger Ledger) : Ledger(std::move(Ledger)) {}
    EscrowLedger Ledger;
    unsigned Limit = 0;
    std::uint64_t LimitVersion = 0;
    GrantRow Row;
    Revision MinRevision = 0;
    bool RowKnown = false;
    /// A GrantOperation is running.
    bool InFlight = false;
    /// The last GrantOperation failed, but its write may still be applied.
    bool OutcomeUnknown = false;
    unsigned Demand = 0;
    Instant DemandUntil{};
    Instant NextTableCall{};
    Duration TableBackoff{0};
    std::optional<PendingRequest> Pending;
    Instant NextLoanRequest{};
    std::size_t NextLender = 0;
    /// Number of consecutive requests that lenders refused.
    unsigned ConsecutiveRefusals = 0;
    std::deque<WaitingBorrower> Waiters;
    /// A unit was lent to a waiting borrower; under local demand, the next free
    /// unit stays on this daemon.
    bool ServedWaiterLast = false;
    unsigned PeakUsage = 0;
    Instant PeakWindowStart{};
    /// Predecessors whose units are already counted as in use.
    std::set<DaemonId> Inherited;
  };

  ResourceState &stateOf(const ResourceId &Resource);
  void replenish(const ResourceId &Resource, ResourceState &State);
  bool tableMayHaveUnits(const ResourceState &State) const;
  unsigned unitsToRequest(const ResourceState &State) const;
  void startOperation(const ResourceId &Resource, ResourceState &State,
                      GrantOperation Operation, CallPriority Priority);
  void endOperation(const ResourceId &Resource, const GrantOutcome &Outcome);
  bool needsUnits(const ResourceState &State) const;
  void requestLoan(const ResourceId &Resource, ResourceState &State);
  std::vector<DaemonId> findLenders(const ResourceState &State) const;
  LoanOffer makeOffer(ResourceState &State, unsigned Units);
  void serveWaiters(const ResourceId &Resource, ResourceState &State);
  void dropExpiredWaiters(const ResourceId &Resource, ResourceState &State);
  void returnIdleUnits(const ResourceId &Resource, ResourceState &State);
  void returnLoans(const ResourceId &Resource,
                   const std::vector<LoanId> &Loans);
  void notifyAvailable(const ResourceId &Resource);

  EscrowAgentOptions Options;
  ITable &Table;
  IBackgroundExecutor &Background;
  ILoanPeers &Peers;
  PlatformCallLimiter &Limiter;
  const IClock &Clock;
  Metrics &Stats;
  AvailabilityHandler Handler;
  std::map<ResourceId, ResourceState> Resources;
  std::uint64_t NextRequestNumber = 1;
  bool Draining = false;
};

} // namespace sardinerill
