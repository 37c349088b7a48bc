#pragma once

#include "holder.h"

#include "sardinerill/ownership/voluntaryhandover.h"

#include "sardinerill/http/httpclient.h"

/// \file
/// Claims, renews and releases the site's ownership row. The daemon that holds
/// it runs the scheduler.

namespace sardinerill::site {

/// Probes whether the process of the current holder is still alive.
using HolderProbe = std::function<Async<void>(OwnershipObserver &)>;

class OwnershipManager {
public:
  /// \param StartHolder called after each successful claim.
  /// \param StopHolder called when ownership is lost.
  OwnershipManager(SiteDeps Deps, std::string Incarnation,
                   std::function<void(OwnershipClaim)> StartHolder,
                   std::function<void()> StopHolder);

  Async<void> run();
  /// \param Check returns whether a daemon with much more capacity may exist,
  /// which should claim ownership first.
  void setLargerPeerCheck(std::function<bool()> Check) {
    this->MayHaveLargerPeer = std::move(Check);
  }
  /// Reads the row at once, after a notification from another daemon.
  void checkNow() { this->Wake.notify(); }
  /// Marks the row as leaving, so that another daemon claims it. This daemon
  /// remains the holder until then.
  void startLeaving() {
    this->IsLeaving = true;
    this->Wake.notify();
  }
  /// \returns whether the leaving mark is stored.
  bool isLeavingStored() const { return this->LeavingStored; }
  /// Marks the row as released if this daemon is still the holder.
  /// \param Deadline the call to the table does not last longer.
  /// \returns whether this daemon has left the row to others.
  Async<bool> release(Instant Deadline);

  /// \returns the row as of the last read.
  const OwnershipRow &row() const { return this->Observer.row(); }
  /// Sets the lease to renew; null when this daemon is no longer the holder.
  void setOwnershipLease(OwnershipLease *Ownership) { this->Lease = Ownership; }

private:
  Async<void> renew();
  /// Offers the lease to other daemons, or withdraws the offer.
  void updateVoluntaryHandover();
  Async<void> checkRow();
  Async<void> probeHolder();
  /// \returns how long this daemon leaves a claim to others that are better
  /// placed.
  Duration claimDelay() const;
  Duration pauseBeforeNextCall() const;
  Async<void> claim();
  void onClaimed(std::int64_t Token, const OwnershipRow &NewRow,
                 PredecessorState Predecessor, Instant SentAt);
  OwnershipRow ownRow(int Term) const;
  /// \returns what decides whether this daemon may take an offered lease.
  Claimant ownClaimant() const;

  SiteDeps Deps;
  std::string Incarnation;
  std::function<void(OwnershipClaim)> StartHolder;
  std::function<void()> StopHolder;
  OwnershipTimings Timeouts;
  OwnershipObserver Observer;
  AsyncEvent Wake;
  OwnershipLease *Lease = nullptr;
  std::int64_t RowVersion = 0; ///< Valid while this daemon holds the row.
  /// As OwnershipClaim::EarlierCommandsUntil, of the latest claim.
  Instant EarlierCommandsUntil{};
  int Term = 0;
  /// Set at the start of the shutdown: renewals carry the leaving mark and no
  /// claims are made.
  bool IsLeaving = false;
  VoluntaryHandover Handover;
  /// The lease is offered to other daemons although this one goes on running.
  bool OffersLease = false;
  bool LeavingStored = false;
  bool RenewalFailed = false; ///< The latest renewal had no answer.
  Instant NextRenewalLog{};
  std::unique_ptr<HttpClient> ProbeClient;
  std::function<bool()> MayHaveLargerPeer = [] { return false; };
  Instant ClaimableSince{};
};

} // namespace sardinerill::site
