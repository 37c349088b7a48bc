#include "sardinerill/escrow/escrowagent.h"

#include <algorithm>

namespace sardinerill {

namespace {

constexpr Duration DemandTimeout = seconds(1);
/// The loan window starts when the borrower sends its request, and half of it
/// must be left when the offer arrives.
constexpr Duration WaiterTimeout = milliseconds(800);
constexpr Duration LoanRequestTimeout = milliseconds(1200);
constexpr std::size_t ProbesBeforeWaiting = 4;
constexpr Duration LenderCyclePause = milliseconds(50);
constexpr Duration MinTableBackoff = milliseconds(250);
constexpr Duration MaxTableBackoff = seconds(4);
constexpr Duration PeakWindow = seconds(5);
/// A raise asks for at least the limit divided by this number, so that a busy
/// daemon does not write the row once per unit.
constexpr unsigned MinRaiseDivisor = 16;
constexpr unsigned MaxUnitsPerLoan = 8;

} // namespace

EscrowAgent::EscrowAgent(EscrowAgentOptions Options, ITable &Table,
                         IBackgroundExecutor &Background, ILoanPeers &Peers,
                         PlatformCallLimiter &Limiter, const IClock &Clock,
                         Metrics &Stats)
    : Options(std::move(Options)), Table(Table), Background(Background),
      Peers(Peers), Limiter(Limiter), Clock(Clock), Stats(Stats) {}

EscrowAgent::State &EscrowAgent::stateOf(const ResourceId &Resource) {
  auto Found = this->Resources.find(Resource);
  if (Found == this->Resources.end())
    Found = this->Resources
                .emplace(Resource, State(EscrowLedger(this->Options.Self,
                                                      this->Options.Times)))
                .first;
  return Found->second;
}

std::optional<UnitSource> EscrowAgent::tryAcquire(const ResourceId &Resource) {
  State &Current = this->stateOf(Resource);
  std::optional<UnitSource> Source =
      Current.Ledger.tryAcquire(this->Clock.now());
  if (Source) {
    Current.PeakUsage = std::max(Current.PeakUsage, Current.Ledger.committed());
    Current.Demand -= std::min(Current.Demand, 1U);
  }
  return Source;
}

void EscrowAgent::release(const ResourceId &Resource,
                          const UnitSource &Source) {
  State &Current = this->stateOf(Resource);
  Current.Ledger.release(Source);
  this->serveWaiters(Resource, Current);
  this->notifyAvailable(Resource);
  // Without local demand, idle loans are returned at once for others to use.
  if (Current.Demand == 0)
    this->returnLoans(Resource, Current.Ledger.returnIdleLoans());
}

void EscrowAgent::requestUnits(const ResourceId &Resource, unsigned Units) {
  if (this->Draining || Units == 0)
    return;
  State &Current = this->stateOf(Resource);
  Current.Demand = Units;
  Current.DemandUntil = this->Clock.now() + DemandTimeout;
  this->replenish(Resource, Current);
}

unsigned EscrowAgent::available(const ResourceId &Resource) const {
  auto Found = this->Resources.find(Resource);
  if (Found == this->Resources.end())
    return 0;
  return Found->second.Ledger.available(this->Clock.now());
}

unsigned EscrowAgent::running(const ResourceId &Resource) const {
  auto Found = this->Resources.find(Resource);
  return Found == this->Resources.end() ? 0 : Found->second.Ledger.running();
}

void EscrowAgent::setLimits(const std::vector<ResourceLimit> &Limits,
                            std::uint64_t Version, EscrowTimeouts Times) {
  this->Options.Times = Times;
  std::map<ResourceId, ResourceLimit> LimitByResource;
  for (const ResourceLimit &Entry : Limits)
    LimitByResource[Entry.Resource] = Entry;
  for (const auto &[Resource, Current] : this->Resources)
    if (Current.Limit > 0)
      LimitByResource.try_emplace(Resource,
                                  ResourceLimit{Resource, 0, Version});
  for (auto &[Resource, Current] : this->Resources)
    Current.Ledger.setTimes(Times, this->Clock.now());
  for (const auto &[Resource, Entry] : LimitByResource) {
    State &Current = this->stateOf(Resource);
    if (Entry.Version <= Current.LimitVersion)
      continue;
    Current.Limit = Entry.Limit;
    Current.LimitVersion = Entry.Version;
    if (Current.InFlight || !Current.Ledger.isIdle())
      Current.Ledger.freeze(this->Clock.now());
    this->replenish(Resource, Current);
  }
}

bool EscrowAgent::tableMayHaveUnits(const State &Current) const {
  return !Current.RowKnown || Current.Row.Limit != Current.Limit ||
         totalUnits(Current.Row) < Current.Limit;
}

bool EscrowAgent::needsUnits(const State &Current) const {
  const Instant Now = this->Clock.now();
  return Current.Demand > 0 && Now < Current.DemandUntil &&
         Current.Ledger.available(Now) == 0;
}

unsigned EscrowAgent::raiseSize(const State &Current) const {
  const auto DaemonCount =
      static_cast<unsigned>(this->Peers.reachable().size()) + 1;
  const unsigned FairShare = (Current.Limit + DaemonCount - 1) / DaemonCount;
  const unsigned MinRaise =
      (Current.Limit + MinRaiseDivisor - 1) / MinRaiseDivisor;
  return std::min(std::max(Current.Demand, MinRaise), std::max(FairShare, 1U));
}

void EscrowAgent::replenish(const ResourceId &Resource, State &Current) {
  const Instant Now = this->Clock.now();
  if (Current.InFlight)
    return;
  if (Current.Ledger.isFrozen()) {
    if (Now >= Current.NextTableCall)
      this->startOperation(Resource, Current, {}, CallPriority::Urgent);
    return;
  }
  if (!this->needsUnits(Current))
    return;
  if (this->tableMayHaveUnits(Current) || Now >= Current.NextTableCall) {
    GrantOperation Raise;
    Raise.RaiseBy = this->raiseSize(Current);
    this->startOperation(Resource, Current, Raise, CallPriority::Normal);
  }
  this->requestLoan(Resource, Current);
}

void EscrowAgent::startOperation(const ResourceId &Resource, State &Current,
                                 GrantOperation Operation,
                                 CallPriority Priority) {
  const Instant Now = this->Clock.now();
  // The backoff applies to table calls only: loans continue while the table is
  // unreachable.
  Current.TableBackoff =
      std::clamp(Current.TableBackoff * 2, MinTableBackoff, MaxTableBackoff);
  Current.NextTableCall = Now + Current.TableBackoff;
  if (!this->Limiter.tryAcquire(Priority, Now)) {
    this->Stats.count("platform_calls_held_total");
    return;
  }
  Operation.Resource = Resource;
  Operation.Self = this->Options.Self;
  Operation.Limit = Current.Limit;
  Operation.LimitVersion = Current.LimitVersion;
  Operation.ForceWrite = Current.OutcomeUnknown;
  if (Current.OutcomeUnknown && !Operation.LowerTo)
    Operation.LowerTo = Current.Ledger.granted();
  Current.InFlight = true;
  runInBackground<GrantOutcome>(
      this->Background,
      [&Table = this->Table, Operation] {
        return runGrantOperation(Table, Operation);
      },
      [this, Resource](GrantOutcome Outcome) {
        this->endOperation(Resource, Outcome);
      });
}

void EscrowAgent::endOperation(const ResourceId &Resource,
                               const GrantOutcome &Outcome) {
  State &Current = this->stateOf(Resource);
  Current.InFlight = false;
  for (unsigned Conflict = 0; Conflict < Outcome.Conflicts; ++Conflict)
    this->Stats.countRetry(RetryReason::PlatformConflict);
  this->Limiter.recordOutcome(Outcome.Known || Outcome.Conflicts > 0,
                              this->Clock.now());
  if (!Outcome.Known) {
    Current.OutcomeUnknown = true;
    this->Stats.countRetry(RetryReason::PlatformTimeout);
    return;
  }
  // A stale outcome must not restore units that were given up in the meantime.
  if (Outcome.MinRevision < Current.MinRevision)
    return;
  Current.OutcomeUnknown = false;
  Current.MinRevision = Outcome.MinRevision;
  Current.Row = Outcome.Row;
  Current.RowKnown = true;
  const unsigned Before = Current.Ledger.granted();
  Current.Ledger.applyGrant(grantOf(Outcome.Row, this->Options.Self));
  if (Current.Ledger.granted() > Before)
    Current.TableBackoff = Duration(0);
  // The limit changed while the operation was in flight.
  if (Outcome.Row.LimitVersion < Current.LimitVersion) {
    Current.Ledger.freeze(this->Clock.now());
    Current.NextTableCall = Instant{};
    this->replenish(Resource, Current);
    return;
  }
  this->serveWaiters(Resource, Current);
  this->notifyAvailable(Resource);
}

std::vector<DaemonId> EscrowAgent::findLenders(const State &Current) const {
  std::vector<DaemonId> Reachable = this->Peers.reachable();
  if (!Current.RowKnown)
    return Reachable;
  std::vector<DaemonId> Lenders;
  for (const Grant &Entry : Current.Row.Grants)
    if (Entry.Units > 0 && std::find(Reachable.begin(), Reachable.end(),
                                     Entry.Holder) != Reachable.end())
      Lenders.push_back(Entry.Holder);
  return Lenders;
}

void EscrowAgent::requestLoan(const ResourceId &Resource, State &Current) {
  const Instant Now = this->Clock.now();
  if (Current.Pending && Now < Current.Pending->SentAt + LoanRequestTimeout)
    return;
  if (Now < Current.NextLoanRequest)
    return;
  const std::vector<DaemonId> Lenders = this->findLenders(Current);
  if (Lenders.empty())
    return;
  // Probe a few lenders for idle units. If all of them refuse, ask the next one
  // to reply when a unit becomes free.
  const std::size_t Probes = std::min(Lenders.size(), ProbesBeforeWaiting);
  const bool MayWait = Current.ConsecutiveRefusals >= Probes;
  if (MayWait)
    Current.ConsecutiveRefusals = 0;
  const DaemonId &Lender = Lenders[Current.NextLender++ % Lenders.size()];
  Current.Pending = PendingRequest{this->NextRequestNumber++, Now, MayWait};
  this->Stats.count("loans_asked_total");
  this->Peers.sendLoanRequest(
      Lender, LoanRequest{Current.Pending->Number, Resource,
                          std::min(Current.Demand, MaxUnitsPerLoan), MayWait});
}

LoanOffer EscrowAgent::makeOffer(State &Current, unsigned Units) {
  const Instant Now = this->Clock.now();
  // Keep half of the idle units, as the next request may arrive at this daemon.
  const unsigned Spare = (Current.Ledger.freeOwn() + 1) / 2;
  LoanOffer Offer =
      Current.Ledger.lend(std::min({Units, MaxUnitsPerLoan, Spare}), Now);
  Offer.LimitVersion = Current.LimitVersion;
  Current.PeakUsage = std::max(Current.PeakUsage, Current.Ledger.committed());
  return Offer;
}

void EscrowAgent::onLoanRequest(const DaemonId &From,
                                const LoanRequest &Request) {
  State &Current = this->stateOf(Request.Resource);
  const LoanOffer Offer = this->makeOffer(Current, Request.Units);
  const bool CanWait = Request.MayWait && Current.Ledger.granted() > 0;
  if (Offer.Units > 0 || !CanWait) {
    this->Peers.sendLoanReply(From, Request.Number, Request.Resource, Offer);
    return;
  }
  Current.Waiters.push_back(Waiter{From, Request.Number, Request.Units,
                                   this->Clock.now() + WaiterTimeout});
}

void EscrowAgent::serveWaiters(const ResourceId &Resource, State &Current) {
  const Instant Now = this->Clock.now();
  while (!Current.Waiters.empty()) {
    const bool LocalDemand = Current.Demand > 0 && Now < Current.DemandUntil;
    if (LocalDemand && Current.ServedWaiterLast) {
      Current.ServedWaiterLast = false;
      return;
    }
    const Waiter Next = Current.Waiters.front();
    const LoanOffer Offer =
        this->makeOffer(Current, LocalDemand ? 1 : Next.Units);
    if (Offer.Units == 0)
      return;
    Current.Waiters.pop_front();
    Current.ServedWaiterLast = true;
    this->Peers.sendLoanReply(Next.Borrower, Next.RequestNumber, Resource,
                              Offer);
  }
}

void EscrowAgent::dropExpiredWaiters(const ResourceId &Resource,
                                     State &Current) {
  const Instant Now = this->Clock.now();
  while (!Current.Waiters.empty() && Now >= Current.Waiters.front().Until) {
    const Waiter Expired = Current.Waiters.front();
    Current.Waiters.pop_front();
    this->Peers.sendLoanReply(Expired.Borrower, Expired.RequestNumber, Resource,
                              LoanOffer{});
  }
}

void EscrowAgent::onLoanReply(const DaemonId &, std::uint64_t RequestNumber,
                              const ResourceId &Resource,
                              const LoanOffer &Offer) {
  State &Current = this->stateOf(Resource);
  if (!Current.Pending || Current.Pending->Number != RequestNumber) {
    // The request is no longer pending, so the units go back to the lender at
    // once. A duplicate of an accepted reply must not return the loan.
    if (Offer.Units > 0 && !Current.Ledger.hasLoan(Offer.Id))
      this->Peers.sendLoanReturn(Offer.Id, Resource);
    return;
  }
  const PendingRequest Answered = *Current.Pending;
  Current.Pending.reset();
  // A lender with an older limit may lend units that no longer exist. A lender
  // that assumes shorter runs would reclaim the units too early.
  const bool Outdated = Offer.LimitVersion < Current.LimitVersion ||
                        Offer.MaxRun < this->Options.Times.MaxRun;
  if (Outdated && Offer.Units > 0)
    this->Peers.sendLoanReturn(Offer.Id, Resource);
  if (Offer.Units == 0 || Outdated) {
    ++Current.ConsecutiveRefusals;
    // Probes follow each other at once; a full cycle of them is followed by a
    // pause.
    if (Answered.MayWait)
      Current.NextLoanRequest = this->Clock.now() + LenderCyclePause;
    if (this->needsUnits(Current))
      this->requestLoan(Resource, Current);
    return;
  }
  Current.ConsecutiveRefusals = 0;
  this->Stats.count("loans_received_total");
  Current.Ledger.acceptLoan(Offer, Answered.SentAt);
  this->notifyAvailable(Resource);
}

void EscrowAgent::onLoanReturn(const ResourceId &Resource, LoanNumber Number) {
  State &Current = this->stateOf(Resource);
  Current.Ledger.loanReturned(Number);
  this->serveWaiters(Resource, Current);
  this->notifyAvailable(Resource);
}

void EscrowAgent::returnLoans(const ResourceId &Resource,
                              const std::vector<LoanId> &Loans) {
  for (const LoanId &Loan : Loans)
    this->Peers.sendLoanReturn(Loan, Resource);
}

void EscrowAgent::returnIdleUnits(const ResourceId &Resource, State &Current) {
  const Instant Now = this->Clock.now();
  const bool AboveTarget = Current.Ledger.granted() > Current.Ledger.target();
  const bool WindowOver =
      Now >= Current.PeakWindowStart + this->Options.IdleReturnDelay;
  if (!AboveTarget && !WindowOver && !this->Draining && !Current.OutcomeUnknown)
    return;
  const bool NoFreeUnits = totalUnits(Current.Row) >= Current.Limit;
  const unsigned Needed =
      NoFreeUnits ? Current.PeakUsage : Current.Ledger.target();
  const unsigned Keep = this->Draining ? 0 : Needed;
  if (WindowOver) {
    Current.PeakUsage = Current.Ledger.committed();
    Current.PeakWindowStart = Now;
  }
  if (Current.InFlight || Now < Current.NextTableCall)
    return;
  GrantOperation Lower;
  // While the row has free units, no other daemon needs these: keep them.
  if (NoFreeUnits || AboveTarget || this->Draining)
    Lower.LowerTo = Current.Ledger.prepareLowering(Keep);
  if (Lower.LowerTo || Current.OutcomeUnknown)
    this->startOperation(Resource, Current, Lower, CallPriority::Background);
}

void EscrowAgent::tick() {
  const Instant Now = this->Clock.now();
  for (auto &[Resource, Current] : this->Resources) {
    this->returnLoans(Resource, Current.Ledger.expire(Now));
    const bool HasDemand = Current.Demand > 0 && Now < Current.DemandUntil;
    if (!HasDemand)
      this->returnLoans(Resource, Current.Ledger.returnIdleLoans());
    this->dropExpiredWaiters(Resource, Current);
    this->serveWaiters(Resource, Current);
    this->returnIdleUnits(Resource, Current);
    this->replenish(Resource, Current);
  }
}

void EscrowAgent::recoverGrants(
    const std::function<bool(const DaemonId &)> &IsPredecessor,
    std::function<void(bool)> Done) {
  using ScanResult = Result<std::vector<OrphanedGrant>>;
  runInBackground<ScanResult>(
      this->Background,
      [&Table = this->Table, IsPredecessor] {
        return scanGrants(Table, IsPredecessor);
      },
      [this, Done = std::move(Done)](ScanResult Orphans) {
        if (!Orphans) {
          Done(false);
          return;
        }
        for (const OrphanedGrant &Orphan : *Orphans) {
          State &Current = this->stateOf(Orphan.Resource);
          if (Current.InFlight) {
            Done(false);
            return;
          }
          // Count the units as in use before changing the row, so that the
          // predecessor's tasks are accounted for if the outcome is unknown.
          if (Current.Inherited.insert(Orphan.Holder).second)
            Current.Ledger.applyInherited(Orphan.Units, this->Clock.now());
          GrantOperation Inherit;
          Inherit.InheritFrom = Orphan.Holder;
          this->startOperation(Orphan.Resource, Current, Inherit,
                               CallPriority::Urgent);
        }
        Done(Orphans->empty());
      });
}

std::string EscrowAgent::describe(const ResourceId &Resource) const {
  auto Found = this->Resources.find(Resource);
  if (Found == this->Resources.end())
    return "unknown";
  const State &Current = Found->second;
  const EscrowLedger &Ledger = Current.Ledger;
  std::string Text = "granted " + std::to_string(Ledger.granted());
  Text += " target " + std::to_string(Ledger.target());
  Text += " committed " + std::to_string(Ledger.committed());
  Text += " running " + std::to_string(Ledger.running());
  if (Ledger.isFrozen())
    Text += " frozen";
  if (Current.InFlight)
    Text += " in-flight";
  if (Current.OutcomeUnknown)
    Text += " outcome-unknown";
  return Text;
}

void EscrowAgent::beginDrain() { this->Draining = true; }

bool EscrowAgent::isDrained() const {
  return std::all_of(this->Resources.begin(), this->Resources.end(),
                     [](const auto &Entry) {
                       const State &Current = Entry.second;
                       return Current.Ledger.isIdle() && !Current.InFlight &&
                              !Current.OutcomeUnknown;
                     });
}

void EscrowAgent::notifyAvailable(const ResourceId &Resource) {
  if (this->Handler)
    this->Handler(Resource);
}

} // namespace sardinerill
