#include "sardinerill/escrow/escrowledger.h"

#include <algorithm>

namespace sardinerill {

unsigned EscrowLedger::committed() const {
  unsigned Total = this->RunningOwn;
  for (const auto &[Number, Loan] : this->LentLoans)
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
  if (this->Frozen)
    return 0;
  const unsigned Cap = std::min(this->Granted, this->Target);
  const unsigned Used = this->committed();
  return Cap > Used ? Cap - Used : 0;
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

void EscrowLedger::setTimes(EscrowTimeouts NewTimes, Instant Now) {
  const bool LongerRuns = NewTimes.MaxRun > this->Times.MaxRun;
  this->Times = NewTimes;
  if (!LongerRuns)
    return;
  for (auto &[Id, Loan] : this->BorrowedLoans)
    Loan.StartUntil = std::min(Loan.StartUntil, Now);
}

void EscrowLedger::freeze(Instant Now) {
  this->Frozen = true;
  for (auto &[Id, Loan] : this->BorrowedLoans)
    Loan.StartUntil = std::min(Loan.StartUntil, Now);
}

LoanOffer EscrowLedger::lend(unsigned MaxUnits, Instant Now) {
  const unsigned Units = std::min(MaxUnits, this->freeOwn());
  const LoanId Id{this->Self, ++this->LastLoan};
  if (Units > 0)
    this->LentLoans.emplace(Id.Number,
                            LentLoan{Units, Now + this->Times.settleTime()});
  return LoanOffer{Id, Units, this->Times.LoanWindow, 0, this->Times.MaxRun};
}

void EscrowLedger::acceptLoan(const LoanOffer &Offer, Instant SentAt) {
  if (Offer.Units == 0)
    return;
  // emplace() ignores a duplicate of an offer, which must not double the loan.
  this->BorrowedLoans.emplace(
      Offer.Id, BorrowedLoan{Offer.Units, 0, SentAt + Offer.StartWindow});
}

void EscrowLedger::loanReturned(LoanNumber Number) {
  this->LentLoans.erase(Number);
}

std::vector<LoanId> EscrowLedger::expire(Instant Now) {
  std::erase_if(this->LentLoans, [&](const auto &Entry) {
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

std::vector<LoanId> EscrowLedger::returnIdleLoans() {
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
  this->Target = Confirmed.Target;
  this->Frozen = false;
}

void EscrowLedger::applyInherited(unsigned Units, Instant Now) {
  if (Units == 0)
    return;
  this->LentLoans.emplace(++this->LastLoan,
                          LentLoan{Units, Now + this->Times.settleTime()});
}

std::optional<unsigned> EscrowLedger::prepareLowering(unsigned Keep) {
  const unsigned Cap = std::min(this->Granted, this->Target);
  const unsigned Lowered = std::max(this->committed(), std::min(Cap, Keep));
  if (Lowered >= this->Granted)
    return std::nullopt;
  this->Granted = Lowered;
  this->Target = std::min(this->Target, Lowered);
  return Lowered;
}

bool EscrowLedger::isIdle() const {
  return this->Granted == 0 && this->committed() == 0 &&
         this->BorrowedLoans.empty();
}

} // namespace sardinerill
