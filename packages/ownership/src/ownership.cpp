#include "sardinerill/ownership/ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sardinerill::site {

using nlohmann::json;

namespace {

/// Rounded up, so that the bound it stands for is kept.
std::int64_t wholeMillis(Duration Time) {
  return std::chrono::ceil<milliseconds>(Time).count();
}

} // namespace

std::string encodeOwnership(const OwnershipRow &Row) {
  json Encoded{{"holder", Row.Holder},
               {"incarnation", Row.Incarnation},
               {"address", Row.PeerAddress},
               {"term", Row.Term},
               {"leaving", Row.Leaving},
               {"released", Row.Released},
               {"commands_vms", Row.CommandsVms},
               {"earlier_commands_ms", wholeMillis(Row.EarlierCommandsFor)}};
  if (Row.OfferingCapacity)
    Encoded["offering_capacity"] = *Row.OfferingCapacity;
  return Encoded.dump();
}

Result<OwnershipRow> decodeOwnership(const std::string &Text) {
  try {
    const json Read = json::parse(Text);
    return OwnershipRow{
        .Holder = Read.at("holder"),
        .Incarnation = Read.at("incarnation"),
        .PeerAddress = Read.at("address"),
        .Term = Read.at("term"),
        .Leaving = Read.at("leaving"),
        .OfferingCapacity =
            Read.contains("offering_capacity")
                ? std::optional<double>(Read.at("offering_capacity"))
                : std::nullopt,
        .Released = Read.at("released"),
        .CommandsVms = Read.value("commands_vms", false),
        // Unknown in rows of builds that did not store it.
        .EarlierCommandsFor = milliseconds(
            Read.value("earlier_commands_ms",
                       wholeMillis(OwnershipTimings{}.LeaseDuration)))};
  } catch (const json::exception &Exception) {
    return makeError(ErrorKind::BadRequest, Exception.what());
  }
}

void OwnershipObserver::observe(std::int64_t ReadVersion,
                                const OwnershipRow &ReadRow,
                                Instant RequestedAt, Instant RepliedAt,
                                std::int64_t TableVersion,
                                std::int64_t KnownVersion) {
  const bool IsOld =
      TableVersion < std::max(this->NewestTableVersion, KnownVersion);
  this->NewestTableVersion = std::max(this->NewestTableVersion, TableVersion);
  if (this->HasRead && ReadVersion < this->Version)
    return; // Stale: a newer version was already read.
  const bool Changed = !this->HasRead || ReadVersion != this->Version;
  const bool GapTooLong =
      RequestedAt - this->LastRequestedAt > this->Timings.MaxReadGap;
  if (Changed || GapTooLong)
    this->UnchangedSince = RepliedAt;
  if (Changed && this->Row.Incarnation != ReadRow.Incarnation) {
    this->HolderEnded = false;
    this->LeavingSeenAt.reset();
  }
  const bool Ends = ReadRow.Leaving || ReadRow.Released;
  // A holder that has withdrawn its notice commands VMs again. A longer gap may
  // hide that it did, and gave notice anew.
  if (Changed && (!Ends || GapTooLong))
    this->LeavingSeenAt.reset();
  if (Ends && !this->LeavingSeenAt)
    this->LeavingSeenAt = RepliedAt;
  if (Changed) {
    this->Contact = HolderContact::Unknown;
    this->FirstSeenAt = RepliedAt;
    this->BeforePredecessorUntil = RepliedAt + ReadRow.EarlierCommandsFor;
    this->LastInheritedVersion = 0;
  }
  // The holder accepts no job that is stored after the table version of this
  // read, because it had stopped accepting jobs when the read was sent. A read
  // that returned an old state does not show which jobs it had accepted.
  const bool AcceptanceEnded =
      ReadRow.Leaving ||
      RequestedAt >= this->FirstSeenAt + this->Timings.AcceptanceWindow;
  if (this->LastInheritedVersion == 0 && AcceptanceEnded && !IsOld)
    this->LastInheritedVersion = TableVersion;
  this->HasRead = true;
  this->Version = ReadVersion;
  this->Row = ReadRow;
  this->LastRequestedAt = RequestedAt;
  this->LastRepliedAt = RepliedAt;
}

void OwnershipObserver::observeMissingRow() {
  if (this->HasRead && this->Version > 0)
    return; // Stale: the row is never deleted once it exists.
  this->HasRead = true;
}

void OwnershipObserver::markHolderGone(const std::string &Incarnation) {
  if (this->Row.Incarnation == Incarnation)
    this->HolderEnded = true;
}

bool OwnershipObserver::mayClaim(const Claimant &Daemon) const {
  if (!this->HasRead)
    return false;
  if (this->Version == 0 || this->HolderEnded || this->Row.Released)
    return true;
  if (this->Row.Leaving && (!this->Row.OfferingCapacity ||
                            mayTakeOffer(*this->Row.OfferingCapacity, Daemon)))
    return true;
  const bool IsUnreachable = this->Contact == HolderContact::Refuses ||
                             this->Contact == HolderContact::Silent;
  const Duration Timeout = IsUnreachable ? this->Timings.SilentHolderTimeout
                           : this->Contact == HolderContact::Answers
                               ? this->Timings.AnsweringHolderTimeout
                               : this->Timings.HolderTimeout;
  // Measured up to when the read was sent, because its answer may have been
  // delayed in transit.
  const Duration Observed = this->LastRequestedAt - this->UnchangedSince;
  if (Observed >= Timeout)
    return true;
  return IsUnreachable && Observed >= this->Timings.ReturnGrace &&
         this->LastRequestedAt - this->FirstSeenAt >= Timeout;
}

bool OwnershipObserver::renewalIsOverdue(Instant Now) const {
  return this->hasRow() &&
         Now - this->FirstSeenAt >= this->Timings.RenewalOverdue;
}

PredecessorState OwnershipObserver::predecessorState() const {
  const bool Ended =
      this->Version == 0 || this->HolderEnded || this->Row.Released;
  return Ended ? PredecessorState::None : PredecessorState::MayBeActive;
}

Instant OwnershipObserver::earlierCommandsUntil(Instant ClaimSentAt) const {
  const Instant OfPredecessor =
      this->predecessorState() == PredecessorState::MayBeActive
          ? this->predecessorLeaseEnd()
          : std::min(this->predecessorLeaseEnd(), ClaimSentAt);
  return std::max(OfPredecessor, this->BeforePredecessorUntil);
}

Instant OwnershipObserver::vmCommandsFrom(const std::string &OwnName,
                                          Duration Pause) const {
  if (this->Version == 0)
    return {};
  // The commands of an earlier process of the same daemon have ended with it.
  if (this->Row.Holder == OwnName && this->Row.CommandsVms)
    return {};
  // A holder that leaves stops before it stores that it does.
  const Instant LastCommand = this->LeavingSeenAt.value_or(
      this->FirstSeenAt + this->Timings.VmCommandWindow);
  return LastCommand + this->Timings.VmCommandDelivery + Pause;
}

void OwnershipLease::recordRenewal(Instant SentAt) {
  this->RenewedAt = std::max(this->RenewedAt, SentAt);
}

bool OwnershipLease::mayAdmitJobs(Instant Now) const {
  return !this->Lost && !this->Leaving &&
         Now < this->RenewedAt + this->Timings.AcceptanceWindow;
}

bool OwnershipLease::maySendCommands(Instant Now) const {
  return !this->Lost && Now < this->RenewedAt + this->Timings.LeaseDuration -
                                  this->Timings.LeaseMargin;
}

bool OwnershipLease::mayCommandVms(Instant Now) const {
  return !this->Lost && !this->Leaving && this->vmPauseIsOver(Now) &&
         Now < this->RenewedAt + this->Timings.VmCommandWindow;
}

} // namespace sardinerill::site
