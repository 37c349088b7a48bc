#pragma once

#include "holder.h"

#include "sardinerill/http/httpclient.h"

/// \file
/// Claims, renews and releases the site's ownership row. The daemon that holds
/// it runs the scheduler.

namespace sardinerill::site {

/// Probes whether the process of the current holder is still alive.
using HolderProbe = std::function<Async<void>(OwnershipWatch &)>;

class OwnershipKeeper {
public:
  /// \param StartHolding called after each successful claim.
  /// \param StopHolding called when ownership is lost.
  OwnershipKeeper(HolderParts Parts, std::string Incarnation,
                  std::function<void(Succession)> StartHolding,
                  std::function<void()> StopHolding);

  Async<void> run();
  /// \param Outranked returns whether a much stronger daemon may want to claim
  /// ownership.
  void setOutranked(std::function<bool()> Outranked) {
    this->MayBeOutranked = std::move(Outranked);
  }
  /// Reads the row at once, after a notification from another daemon.
  void lookNow() { this->Look.notify(); }
  /// Marks the row as leaving, so that another daemon claims it. This daemon
  /// remains the holder until then.
  void leave() {
    this->Releasing = true;
    this->Look.notify();
  }
  /// \returns whether the leaving mark is stored.
  bool leaveIsStored() const { return this->LeaveStored; }
  /// Marks the row as released if this daemon is still the holder.
  Async<void> release();

  /// \returns the row as of the last read.
  const OwnershipRow &row() const { return this->Watch.row(); }
  void attach(HeldOwnership *Mine) { this->Held = Mine; }

private:
  Async<void> renew();
  Async<void> watch();
  Async<void> probeHolder();
  Async<void> claim();
  void begin(std::int64_t Token, const OwnershipRow &Mine, Predecessor Before,
             Instant SentAt);
  OwnershipRow ownRow(int Term) const;

  HolderParts Parts;
  std::string Incarnation;
  std::function<void(Succession)> StartHolding;
  std::function<void()> StopHolding;
  OwnershipTimes Times;
  OwnershipWatch Watch;
  Signal Look;
  HeldOwnership *Held = nullptr;
  std::int64_t RowVersion = 0; ///< Valid while this daemon holds the row.
  int Term = 0;
  bool Releasing = false;
  bool LeaveStored = false;
  std::unique_ptr<HttpClient> HolderDoor;
  std::function<bool()> MayBeOutranked = [] { return false; };
  Instant ClaimableSince{};
};

} // namespace sardinerill::site
