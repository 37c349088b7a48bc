#include "sardinerill/ownership/ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sardinerill::site {

using nlohmann::json;

std::string encodeOwnership(const OwnershipRow &Row) {
  return json{{"holder", Row.Holder},       {"incarnation", Row.Incarnation},
              {"address", Row.PeerAddress}, {"term", Row.Term},
              {"leaving", Row.Leaving},     {"released", Row.Released}}
      .dump();
}

Result<OwnershipRow> decodeOwnership(const std::string &Text) {
  try {
    const json Read = json::parse(Text);
    return OwnershipRow{.Holder = Read.at("holder"),
                        .Incarnation = Read.at("incarnation"),
                        .PeerAddress = Read.at("address"),
                        .Term = Read.at("term"),
                        .Leaving = Read.at("leaving"),
                        .Released = Read.at("released")};
  } catch (const json::exception &Fault) {
    return makeError(ErrorKind::BadRequest, Fault.what());
  }
}

void OwnershipWatch::observe(std::int64_t Seen, const OwnershipRow &SeenRow,
                             Instant AskedAt, Instant AnsweredAt,
                             std::int64_t Newest) {
  if (this->Known && Seen < this->Version)
    return; // Stale: a newer version was already read.
  const bool Changed = !this->Known || Seen != this->Version;
  const bool Gap = AskedAt - this->LastAskedAt > this->Times.ReadGap;
  if (Changed || Gap)
    this->UnchangedSince = AnsweredAt;
  if (Changed && this->Row.Incarnation != SeenRow.Incarnation)
    this->Gone = this->Refuses = false;
  if (Changed) {
    this->FirstSeenAt = AnsweredAt;
    this->Quiet = 0;
  }
  // Anything stored after this version is stored after the holder has stopped
  // accepting jobs.
  const bool IsQuiet =
      SeenRow.Leaving || AskedAt >= this->FirstSeenAt + this->Times.TakeOn;
  if (this->Quiet == 0 && IsQuiet)
    this->Quiet = Newest;
  this->Known = true;
  this->Version = Seen;
  this->Row = SeenRow;
  this->LastAskedAt = AskedAt;
  this->LastAnsweredAt = AnsweredAt;
}

void OwnershipWatch::observeAbsent() {
  if (this->Known && this->Version > 0)
    return; // Stale: the row is never deleted once it exists.
  this->Known = true;
}

void OwnershipWatch::holderIsGone(const std::string &Incarnation) {
  if (this->Row.Incarnation == Incarnation)
    this->Gone = true;
}

bool OwnershipWatch::mayClaim() const {
  if (!this->Known)
    return false;
  if (this->Version == 0 || this->Gone || this->Row.Released ||
      this->Row.Leaving)
    return true;
  // Measured up to when the read was sent, because its answer may have been
  // delayed in transit.
  const Duration Silence =
      this->Refuses ? this->Times.SilenceIfRefused : this->Times.Silence;
  return this->LastAskedAt - this->UnchangedSince >= Silence;
}

Predecessor OwnershipWatch::predecessor() const {
  const bool Over = this->Version == 0 || this->Gone || this->Row.Released;
  return Over ? Predecessor::None : Predecessor::MayOrder;
}

void HeldOwnership::renewed(Instant SentAt) {
  this->RenewedAt = std::max(this->RenewedAt, SentAt);
}

bool HeldOwnership::mayTakeOn(Instant Now) const {
  return !this->Lost && !this->Leaving &&
         Now < this->RenewedAt + this->Times.TakeOn;
}

bool HeldOwnership::mayOrder(Instant Now) const {
  return !this->Lost &&
         Now < this->RenewedAt + this->Times.Lease - this->Times.Margin;
}

} // namespace sardinerill::site
