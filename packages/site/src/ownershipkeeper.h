#pragma once

#include "holder.h"

#include "sardinerill/http/httpclient.h"

/// \file
/// Keeps or takes over the right to give orders.

namespace sardinerill::site {

/// Asks another daemon whether its process still lives.
using HolderProbe = std::function<Async<void>(OwnershipWatch &)>;

class OwnershipKeeper {
public:
  /// \param StartHolding called with each claim that has succeeded.
  OwnershipKeeper(HolderParts Parts, std::string Incarnation,
                  std::function<void(Succession)> StartHolding,
                  std::function<void()> StopHolding);

  Async<void> run();
  /// \param Outranked whether much stronger daemons may claim as well.
  void setOutranked(std::function<bool()> Outranked) {
    this->MayBeOutranked = std::move(Outranked);
  }
  /// Looks at the row at once; another daemon has news of it.
  void lookNow() { this->Look.notify(); }
  /// Asks for a successor; the orders go on until there is one.
  void leave() {
    this->Releasing = true;
    this->Look.notify();
  }
  /// \returns whether the wish to leave is stored.
  bool leaveIsStored() const { return this->LeaveStored; }
  /// Gives the right up, as far as it is still held.
  Async<void> release();

  /// \returns the row as it was last seen.
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
  std::int64_t RowVersion = 0; ///< Of our own row while we hold.
  int Term = 0;
  bool Releasing = false;
  bool LeaveStored = false;
  std::unique_ptr<HttpClient> HolderDoor;
  std::function<bool()> MayBeOutranked = [] { return false; };
  Instant ClaimableSince{};
};

} // namespace sardinerill::site
