#include "sardinerill/ownership/voluntaryhandover.h"

namespace sardinerill::site {

bool mayTakeOffer(double OfferingCapacity, const Claimant &Daemon) {
  return Daemon.HasOwnConnection && Daemon.Capacity >= OfferingCapacity;
}

void VoluntaryHandover::beginTerm(bool FollowsAnother, bool Relayed,
                                  Instant ClaimedAt) {
  *this = VoluntaryHandover(this->Timings);
  if (FollowsAnother || Relayed)
    this->NextOfferFrom = ClaimedAt + this->Timings.RetryAfter;
}

bool VoluntaryHandover::update(bool Relayed, Instant Now) {
  if (!Relayed)
    this->RelayedSince.reset();
  else if (!this->RelayedSince)
    this->RelayedSince = Now;
  if (this->OfferedSince) {
    // An offer is not withdrawn at once: others may have read it already.
    if (Now - *this->OfferedSince < this->Timings.OfferedFor)
      return true;
    this->OfferedSince.reset();
    this->NextOfferFrom = Now + this->Timings.RetryAfter;
    return false;
  }
  if (!this->RelayedSince || Now < this->NextOfferFrom ||
      Now - *this->RelayedSince < this->Timings.RelayedFor)
    return false;
  this->OfferedSince = Now;
  return true;
}

} // namespace sardinerill::site
