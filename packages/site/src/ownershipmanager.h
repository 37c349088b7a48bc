#pragma once

#include "holder.h"

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
  OwnershipManager(HolderDeps Deps, std::string Incarnation,
                   std::function<void(OwnershipClaim)> StartHolder,
                   std::function<void()> StopHolder);

  Async<void> run();
  /// \param Check returns whether a much stronger daemon may want to claim
  /// ownership.
  void setStrongerPeerCheck(std::function<bool()> Check) {
    this->MayHaveStrongerPeer = std::move(Check);
  }
  /// Reads the row at once, after a notification from another daemon.
  void checkNow() { this->Wake.notify(); }
  /// Marks the row as leaving, so that another daemon claims it. This daemon
  /// remains the holder until then.
  void startLeaving() {
    this->Releasing = true;
    this->Wake.notify();
  }
  /// \returns whether the leaving mark is stored.
  bool isLeavingStored() const { return this->LeavingStored; }
  /// Marks the row as released if this daemon is still the holder.
  Async<void> release();

  /// \returns the row as of the last read.
  const OwnershipRow &row() const { return this->Observer.row(); }
  void attach(OwnershipLease *Ownership) { this->Lease = Ownership; }

private:
  Async<void> renew();
  Async<void> checkRow();
  Async<void> probeHolder();
  Async<void> claim();
  void onClaimed(std::int64_t Token, const OwnershipRow &NewRow,
                 PredecessorState Predecessor, Instant SentAt);
  OwnershipRow ownRow(int Term) const;

  HolderDeps Deps;
  std::string Incarnation;
  std::function<void(OwnershipClaim)> StartHolder;
  std::function<void()> StopHolder;
  OwnershipTimings Timeouts;
  OwnershipObserver Observer;
  Signal Wake;
  OwnershipLease *Lease = nullptr;
  std::int64_t RowVersion = 0; ///< Valid while this daemon holds the row.
  int Term = 0;
  bool Releasing = false;
  bool LeavingStored = false;
  std::unique_ptr<HttpClient> ProbeClient;
  std::function<bool()> MayHaveStrongerPeer = [] { return false; };
  Instant ClaimableSince{};
};

} // namespace sardinerill::site
