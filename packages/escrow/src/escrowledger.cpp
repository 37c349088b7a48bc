#include "sardinerill/escrow/escrowledger.h"

#include <algorithm>

namespace sardinerill {

unsigned EscrowLedger::ownUnitsInUse() const {
  unsigned Total = this->RunningOwn;
  for (const auto &[Number, Loan] : this->ReservedUnits)
    Total += Loan.Units;
  return Total;
}

unsigned EscrowLedger::running() const {
  unsigned Total = this->RunningOwn;
  for (const auto &[Id, Loan] : this->BorrowedLoans)
    Total += Loan.Running;
  return Total;
}

unsigned EscrowLedger::freeOwn() const {
  if (this->StartsSuspended)
    return 0;
  const unsigned UsableUnits = std::min(this->Granted, this->AllowedUnits);
  const unsigned Used = this->ownUnitsInUse();
  return UsableUnits > Used ? UsableUnits - Used : 0;
}

unsigned EscrowLedger::available(Instant Now) const {
  unsigned Total = this->freeOwn();
  for (const auto &[Id, Loan] : this->BorrowedLoans)
    if (Now < Loan.StartUntil)
      Total += Loan.Units - Loan.Running;
  return Total;
}

std::optional<UnitSource> EscrowLedger::tryAcquire(Instant Now) {
  if (this->freeOwn() > 0) {
    ++this->RunningOwn;
    return UnitSource{};
  }
  for (auto &[Id, Loan] : this->BorrowedLoans) {
    if (Now >= Loan.StartUntil || Loan.Running >= Loan.Units)
      continue;
    ++Loan.Running;
    return UnitSource{Id};
  }
  return std::nullopt;
}

void EscrowLedger::release(const UnitSource &Source) {
  if (Source.isOwn()) {
    --this->RunningOwn;
    return;
  }
  auto Loan = this->BorrowedLoans.find(Source.Loan);
  if (Loan != this->BorrowedLoans.end() && Loan->second.Running > 0)
    --Loan->second.Running;
}

void EscrowLedger::setTimes(EscrowTimeLimits NewTimes, Instant Now) {
  const bool LongerRuns = NewTimes.MaxRun > this->Times.MaxRun;
  this->Times = NewTimes;
  if (!LongerRuns)
    return;
  for (auto &[Id, Loan] : this->BorrowedLoans)
    Loan.StartUntil = std::min(Loan.StartUntil, Now);
}

void EscrowLedger::suspendStarts(Instant Now) {
  this->StartsSuspended = true;
  for (auto &[Id, Loan] : this->BorrowedLoans)
    Loan.StartUntil = std::min(Loan.StartUntil, Now);
}

LoanOffer EscrowLedger::lend(unsigned MaxUnits, Instant Now) {
  const unsigned Units = std::min(MaxUnits, this->freeOwn());
  const LoanId Id{this->Self, ++this->LastLoan};
  if (Units > 0)
    this->ReservedUnits.emplace(
        Id.Number, UnitReservation{Units, Now + this->Times.maxUnitUse()});
  return LoanOffer{Id, Units, this->Times.LoanWindow, 0, this->Times.MaxRun};
}

void EscrowLedger::acceptLoan(const LoanOffer &Offer, Instant SentAt) {
  if (Offer.Units == 0)
    return;
  // emplace() ignores a duplicate of an offer, which must not reset Running.
  this->BorrowedLoans.emplace(
      Offer.Id, BorrowedLoan{Offer.Units, 0, SentAt + Offer.StartWindow});
}

void EscrowLedger::endLentLoan(LoanNumber Number) {
  this->ReservedUnits.erase(Number);
}

std::vector<LoanId> EscrowLedger::removeExpiredLoans(Instant Now) {
  std::erase_if(this->ReservedUnits, [&](const auto &Entry) {
    return Now >= Entry.second.ExpiresAt;
  });
  std::vector<LoanId> Ended;
  for (const auto &[Id, Loan] : this->BorrowedLoans)
    if (Now >= Loan.StartUntil && Loan.Running == 0)
      Ended.push_back(Id);
  for (const LoanId &Id : Ended)
    this->BorrowedLoans.erase(Id);
  return Ended;
}

std::vector<LoanId> EscrowLedger::removeIdleLoans() {
  std::vector<LoanId> Ended;
  for (const auto &[Id, Loan] : this->BorrowedLoans)
    if (Loan.Running == 0)
      Ended.push_back(Id);
  for (const LoanId &Id : Ended)
    this->BorrowedLoans.erase(Id);
  return Ended;
}

void EscrowLedger::applyGrant(const Grant &Confirmed) {
  this->Granted = Confirmed.Units;
  this->AllowedUnits = Confirmed.AllowedUnits;
  this->StartsSuspended = false;
}

void EscrowLedger::applyInherited(unsigned Units, Instant Now) {
  if (Units == 0)
    return;
  this->ReservedUnits.emplace(
      ++this->LastLoan, UnitReservation{Units, Now + this->Times.maxUnitUse()});
}

std::optional<unsigned> EscrowLedger::prepareLowering(unsigned Keep) {
  const unsigned UsableUnits = std::min(this->Granted, this->AllowedUnits);
  const unsigned Lowered =
      std::max(this->ownUnitsInUse(), std::min(UsableUnits, Keep));
  if (Lowered >= this->Granted)
    return std::nullopt;
  this->Granted = Lowered;
  this->AllowedUnits = std::min(this->AllowedUnits, Lowered);
  return Lowered;
}

bool EscrowLedger::holdsNoUnits() const {
  return this->Granted == 0 && this->ownUnitsInUse() == 0 &&
         this->BorrowedLoans.empty();
}

} // namespace sardinerill
