#include "sardinerill/escrow/escrowagent.h"

#include <algorithm>

namespace sardinerill {

namespace {

/// requestUnits() must be repeated within this time.
constexpr Duration DemandTimeout = seconds(1);
/// Half of EscrowTimeLimits::LoanWindow (2 s), which starts when the borrower
/// sends its request, must be left when the delayed offer arrives.
constexpr Duration WaiterTimeout = milliseconds(800);
/// Must exceed WaiterTimeout, because units offered after this are sent back.
constexpr Duration LoanRequestTimeout = milliseconds(1200);
/// Number of refused requests after which the next one lets its lender wait.
constexpr std::size_t MaxImmediateRequests = 4;
constexpr Duration WaitingRefusalPause = milliseconds(50);
constexpr Duration MinTableBackoff = milliseconds(250);
constexpr Duration MaxTableBackoff = seconds(4);
constexpr Duration PeakWindow = seconds(5);
/// A raise asks for at least the limit divided by this number, but no more than
/// an equal part per daemon, so that a busy daemon does not write the row once
/// per unit.
constexpr unsigned MinRaiseDivisor = 16;
constexpr unsigned MaxUnitsPerLoan = 8;

} // namespace

EscrowAgent::EscrowAgent(EscrowAgentOptions Options, ITable &Table,
                         IBackgroundExecutor &Background, ILoanPeers &Peers,
                         PlatformCallLimiter &Limiter, const IClock &Clock,
                         Metrics &Stats)
    : Options(std::move(Options)), Table(Table), Background(Background),
      Peers(Peers), Limiter(Limiter), Clock(Clock), Stats(Stats) {}

EscrowAgent::ResourceState &EscrowAgent::stateOf(const ResourceId &Resource) {
  auto Found = this->Resources.find(Resource);
  if (Found == this->Resources.end())
    Found =
        this->Resources
            .emplace(Resource, ResourceState(EscrowLedger(this->Options.Self,
                                                          this->Options.Times)))
            .first;
  return Found->second;
}

std::optional<UnitSource> EscrowAgent::tryAcquire(const ResourceId &Resource) {
  ResourceState &State = this->stateOf(Resource);
  std::optional<UnitSource> Source = State.Ledger.tryAcquire(this->Clock.now());
  if (Source) {
    State.PeakUsage = std::max(State.PeakUsage, State.Ledger.ownUnitsInUse());
    State.Demand -= std::min(State.Demand, 1U);
  }
  return Source;
}

void EscrowAgent::release(const ResourceId &Resource,
                          const UnitSource &Source) {
  ResourceState &State = this->stateOf(Resource);
  State.Ledger.release(Source);
  this->serveWaiters(Resource, State);
  this->notifyAvailable(Resource);
  // Without local demand, idle loans are returned at once for others to use.
  if (State.Demand == 0)
    this->returnLoans(Resource, State.Ledger.removeIdleLoans());
}

void EscrowAgent::requestUnits(const ResourceId &Resource, unsigned Units) {
  if (this->Draining || Units == 0)
    return;
  ResourceState &State = this->stateOf(Resource);
  State.Demand = Units;
  State.DemandUntil = this->Clock.now() + DemandTimeout;
  this->replenish(Resource, State);
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
                            std::uint64_t Version, EscrowTimeLimits Times) {
  this->Options.Times = Times;
  std::map<ResourceId, ResourceLimit> LimitByResource;
  for (const ResourceLimit &Entry : Limits)
    LimitByResource[Entry.Resource] = Entry;
  for (const auto &[Resource, State] : this->Resources)
    if (State.Limit > 0)
      LimitByResource.try_emplace(Resource,
                                  ResourceLimit{Resource, 0, Version});
  for (auto &[Resource, State] : this->Resources)
    State.Ledger.setTimes(Times, this->Clock.now());
  for (const auto &[Resource, Entry] : LimitByResource) {
    ResourceState &State = this->stateOf(Resource);
    if (Entry.Version <= State.LimitVersion)
      continue;
    State.Limit = Entry.Limit;
    State.LimitVersion = Entry.Version;
    if (State.InFlight || !State.Ledger.holdsNoUnits())
      State.Ledger.suspendStarts(this->Clock.now());
    this->replenish(Resource, State);
  }
}

bool EscrowAgent::tableMayHaveUnits(const ResourceState &State) const {
  return !State.RowKnown || State.Row.Limit != State.Limit ||
         totalUnits(State.Row) < State.Limit;
}

bool EscrowAgent::needsUnits(const ResourceState &State) const {
  const Instant Now = this->Clock.now();
  return State.Demand > 0 && Now < State.DemandUntil &&
         State.Ledger.available(Now) == 0;
}

unsigned EscrowAgent::unitsToRequest(const ResourceState &State) const {
  const auto DaemonCount =
      static_cast<unsigned>(this->Peers.reachable().size()) + 1;
  const unsigned FairShare = (State.Limit + DaemonCount - 1) / DaemonCount;
  const unsigned MinRaise =
      (State.Limit + MinRaiseDivisor - 1) / MinRaiseDivisor;
  return std::min(std::max(State.Demand, MinRaise), std::max(FairShare, 1U));
}

void EscrowAgent::replenish(const ResourceId &Resource, ResourceState &State) {
  const Instant Now = this->Clock.now();
  if (State.InFlight)
    return;
  if (State.Ledger.areStartsSuspended()) {
    if (Now >= State.NextTableCall)
      this->startOperation(Resource, State, {}, CallPriority::Urgent);
    return;
  }
  if (!this->needsUnits(State))
    return;
  if (this->tableMayHaveUnits(State) || Now >= State.NextTableCall) {
    GrantOperation Raise;
    Raise.RaiseBy = this->unitsToRequest(State);
    this->startOperation(Resource, State, Raise, CallPriority::Normal);
  }
  this->requestLoan(Resource, State);
}

void EscrowAgent::startOperation(const ResourceId &Resource,
                                 ResourceState &State, GrantOperation Operation,
                                 CallPriority Priority) {
  const Instant Now = this->Clock.now();
  // The backoff applies to table calls only: loans continue while the table is
  // unreachable.
  State.TableBackoff =
      std::clamp(State.TableBackoff * 2, MinTableBackoff, MaxTableBackoff);
  State.NextTableCall = Now + State.TableBackoff;
  if (!this->Limiter.tryAcquire(Priority, Now)) {
    this->Stats.count("platform_calls_held_total");
    return;
  }
  Operation.Resource = Resource;
  Operation.Holder = this->Options.Self;
  Operation.Limit = State.Limit;
  Operation.LimitVersion = State.LimitVersion;
  Operation.ForceWrite = State.OutcomeUnknown;
  if (State.OutcomeUnknown && !Operation.LowerTo)
    Operation.LowerTo = State.Ledger.granted();
  State.InFlight = true;
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
  ResourceState &State = this->stateOf(Resource);
  State.InFlight = false;
  for (unsigned Conflict = 0; Conflict < Outcome.Conflicts; ++Conflict)
    this->Stats.countRetry(RetryReason::PlatformConflict);
  this->Limiter.recordOutcome(Outcome.Known || Outcome.Conflicts > 0,
                              this->Clock.now());
  if (!Outcome.Known) {
    State.OutcomeUnknown = true;
    this->Stats.countRetry(RetryReason::PlatformTimeout);
    return;
  }
  // A stale outcome must not restore units that were returned in the meantime.
  if (Outcome.MinRevision < State.MinRevision)
    return;
  State.OutcomeUnknown = false;
  State.MinRevision = Outcome.MinRevision;
  State.Row = Outcome.Row;
  State.RowKnown = true;
  const unsigned Before = State.Ledger.granted();
  State.Ledger.applyGrant(grantOf(Outcome.Row, this->Options.Self));
  if (State.Ledger.granted() > Before)
    State.TableBackoff = Duration(0);
  // The limit changed while the operation was in flight.
  if (Outcome.Row.LimitVersion < State.LimitVersion) {
    State.Ledger.suspendStarts(this->Clock.now());
    State.NextTableCall = Instant{};
    this->replenish(Resource, State);
    return;
  }
  this->serveWaiters(Resource, State);
  this->notifyAvailable(Resource);
}

std::vector<DaemonId>
EscrowAgent::findLenders(const ResourceState &State) const {
  std::vector<DaemonId> Reachable = this->Peers.reachable();
  if (!State.RowKnown)
    return Reachable;
  std::vector<DaemonId> Lenders;
  for (const Grant &Entry : State.Row.Grants)
    if (Entry.Units > 0 && std::find(Reachable.begin(), Reachable.end(),
                                     Entry.Holder) != Reachable.end())
      Lenders.push_back(Entry.Holder);
  return Lenders;
}

void EscrowAgent::requestLoan(const ResourceId &Resource,
                              ResourceState &State) {
  const Instant Now = this->Clock.now();
  if (State.Pending && Now < State.Pending->SentAt + LoanRequestTimeout)
    return;
  if (Now < State.NextLoanRequest)
    return;
  const std::vector<DaemonId> Lenders = this->findLenders(State);
  if (Lenders.empty())
    return;
  // Request idle units from a few lenders in turn. If all of them refuse, ask
  // the next one to reply when a unit becomes free.
  const std::size_t ImmediateRequests =
      std::min(Lenders.size(), MaxImmediateRequests);
  const bool MayWait = State.ConsecutiveRefusals >= ImmediateRequests;
  if (MayWait)
    State.ConsecutiveRefusals = 0;
  const DaemonId &Lender = Lenders[State.NextLender++ % Lenders.size()];
  State.Pending = PendingRequest{this->NextRequestNumber++, Now, MayWait};
  this->Stats.count("loans_asked_total");
  this->Peers.sendLoanRequest(
      Lender, LoanRequest{State.Pending->Number, Resource,
                          std::min(State.Demand, MaxUnitsPerLoan), MayWait});
}

LoanOffer EscrowAgent::makeOffer(ResourceState &State, unsigned Units) {
  const Instant Now = this->Clock.now();
  // Keep half of the idle units for work that arrives at this daemon.
  const unsigned Spare = (State.Ledger.freeOwn() + 1) / 2;
  LoanOffer Offer =
      State.Ledger.lend(std::min({Units, MaxUnitsPerLoan, Spare}), Now);
  Offer.LimitVersion = State.LimitVersion;
  State.PeakUsage = std::max(State.PeakUsage, State.Ledger.ownUnitsInUse());
  return Offer;
}

void EscrowAgent::onLoanRequest(const DaemonId &From,
                                const LoanRequest &Request) {
  ResourceState &State = this->stateOf(Request.Resource);
  const LoanOffer Offer = this->makeOffer(State, Request.Units);
  const bool CanWait = Request.MayWait && State.Ledger.granted() > 0;
  if (Offer.Units > 0 || !CanWait) {
    this->Peers.sendLoanReply(From, Request.Number, Request.Resource, Offer);
    return;
  }
  State.Waiters.push_back(WaitingBorrower{From, Request.Number, Request.Units,
                                          this->Clock.now() + WaiterTimeout});
}

void EscrowAgent::serveWaiters(const ResourceId &Resource,
                               ResourceState &State) {
  const Instant Now = this->Clock.now();
  while (!State.Waiters.empty()) {
    const bool LocalDemand = State.Demand > 0 && Now < State.DemandUntil;
    if (LocalDemand && State.ServedWaiterLast) {
      State.ServedWaiterLast = false;
      return;
    }
    const WaitingBorrower Next = State.Waiters.front();
    const LoanOffer Offer =
        this->makeOffer(State, LocalDemand ? 1 : Next.Units);
    if (Offer.Units == 0)
      return;
    State.Waiters.pop_front();
    State.ServedWaiterLast = true;
    this->Peers.sendLoanReply(Next.Borrower, Next.RequestNumber, Resource,
                              Offer);
  }
}

void EscrowAgent::dropExpiredWaiters(const ResourceId &Resource,
                                     ResourceState &State) {
  const Instant Now = this->Clock.now();
  while (!State.Waiters.empty() && Now >= State.Waiters.front().Until) {
    const WaitingBorrower Expired = State.Waiters.front();
    State.Waiters.pop_front();
    this->Peers.sendLoanReply(Expired.Borrower, Expired.RequestNumber, Resource,
                              LoanOffer{});
  }
}

void EscrowAgent::onLoanReply(const DaemonId &, std::uint64_t RequestNumber,
                              const ResourceId &Resource,
                              const LoanOffer &Offer) {
  ResourceState &State = this->stateOf(Resource);
  if (!State.Pending || State.Pending->Number != RequestNumber) {
    // The request is no longer pending, so the units go back to the lender at
    // once. A duplicate of an accepted reply must not return the loan.
    if (Offer.Units > 0 && !State.Ledger.hasLoan(Offer.Id))
      this->Peers.sendLoanReturn(Offer.Id, Resource);
    return;
  }
  const PendingRequest Answered = *State.Pending;
  State.Pending.reset();
  // A lender with an older limit may lend units above the current limit. A
  // lender that assumes shorter runs would treat the loan as expired while its
  // tasks still run.
  const bool Outdated = Offer.LimitVersion < State.LimitVersion ||
                        Offer.MaxRun < this->Options.Times.MaxRun;
  if (Outdated && Offer.Units > 0)
    this->Peers.sendLoanReturn(Offer.Id, Resource);
  if (Offer.Units == 0 || Outdated) {
    ++State.ConsecutiveRefusals;
    // A refused immediate request is followed by the next request at once, a
    // refused waiting request only after a pause.
    if (Answered.MayWait)
      State.NextLoanRequest = this->Clock.now() + WaitingRefusalPause;
    if (this->needsUnits(State))
      this->requestLoan(Resource, State);
    return;
  }
  State.ConsecutiveRefusals = 0;
  this->Stats.count("loans_received_total");
  State.Ledger.acceptLoan(Offer, Answered.SentAt);
  this->notifyAvailable(Resource);
}

void EscrowAgent::onLoanReturn(const ResourceId &Resource, LoanNumber Number) {
  ResourceState &State = this->stateOf(Resource);
  State.Ledger.endLentLoan(Number);
  this->serveWaiters(Resource, State);
  this->notifyAvailable(Resource);
}

void EscrowAgent::returnLoans(const ResourceId &Resource,
                              const std::vector<LoanId> &Loans) {
  for (const LoanId &Loan : Loans)
    this->Peers.sendLoanReturn(Loan, Resource);
}

void EscrowAgent::returnIdleUnits(const ResourceId &Resource,
                                  ResourceState &State) {
  const Instant Now = this->Clock.now();
  const bool AboveAllowed =
      State.Ledger.granted() > State.Ledger.allowedUnits();
  const bool WindowOver =
      Now >= State.PeakWindowStart + this->Options.IdleReturnDelay;
  if (!AboveAllowed && !WindowOver && !this->Draining && !State.OutcomeUnknown)
    return;
  const bool NoFreeUnits = totalUnits(State.Row) >= State.Limit;
  const unsigned Needed =
      NoFreeUnits ? State.PeakUsage : State.Ledger.allowedUnits();
  const unsigned Keep = this->Draining ? 0 : Needed;
  if (WindowOver) {
    State.PeakUsage = State.Ledger.ownUnitsInUse();
    State.PeakWindowStart = Now;
  }
  if (State.InFlight || Now < State.NextTableCall)
    return;
  GrantOperation Lower;
  // While the row has free units, other daemons can be granted those instead.
  if (NoFreeUnits || AboveAllowed || this->Draining)
    Lower.LowerTo = State.Ledger.prepareLowering(Keep);
  if (Lower.LowerTo || State.OutcomeUnknown)
    this->startOperation(Resource, State, Lower, CallPriority::Background);
}

void EscrowAgent::tick() {
  const Instant Now = this->Clock.now();
  for (auto &[Resource, State] : this->Resources) {
    this->returnLoans(Resource, State.Ledger.removeExpiredLoans(Now));
    const bool HasDemand = State.Demand > 0 && Now < State.DemandUntil;
    if (!HasDemand)
      this->returnLoans(Resource, State.Ledger.removeIdleLoans());
    this->dropExpiredWaiters(Resource, State);
    this->serveWaiters(Resource, State);
    this->returnIdleUnits(Resource, State);
    this->replenish(Resource, State);
  }
}

void EscrowAgent::inheritGrants(
    const std::function<bool(const DaemonId &)> &IsPredecessor,
    std::function<void(bool)> Done) {
  using ScanResult = Result<std::vector<ResourceGrant>>;
  runInBackground<ScanResult>(
      this->Background,
      [&Table = this->Table, IsPredecessor] {
        return scanGrants(Table, IsPredecessor);
      },
      [this, Done = std::move(Done)](ScanResult Inheritable) {
        if (!Inheritable) {
          Done(false);
          return;
        }
        for (const ResourceGrant &Previous : *Inheritable) {
          ResourceState &State = this->stateOf(Previous.Resource);
          if (State.InFlight) {
            Done(false);
            return;
          }
          // Count the units as in use before changing the row, so that the
          // predecessor's tasks are accounted for if the outcome is unknown.
          if (State.Inherited.insert(Previous.Holder).second)
            State.Ledger.applyInherited(Previous.Units, this->Clock.now());
          GrantOperation Inherit;
          Inherit.InheritFrom = Previous.Holder;
          this->startOperation(Previous.Resource, State, Inherit,
                               CallPriority::Urgent);
        }
        Done(Inheritable->empty());
      });
}

std::string EscrowAgent::describe(const ResourceId &Resource) const {
  auto Found = this->Resources.find(Resource);
  if (Found == this->Resources.end())
    return "unknown";
  const ResourceState &State = Found->second;
  const EscrowLedger &Ledger = State.Ledger;
  std::string Text = "granted " + std::to_string(Ledger.granted());
  Text += " target " + std::to_string(Ledger.allowedUnits());
  Text += " committed " + std::to_string(Ledger.ownUnitsInUse());
  Text += " running " + std::to_string(Ledger.running());
  if (Ledger.areStartsSuspended())
    Text += " frozen";
  if (State.InFlight)
    Text += " in-flight";
  if (State.OutcomeUnknown)
    Text += " outcome-unknown";
  return Text;
}

void EscrowAgent::beginDrain() { this->Draining = true; }

bool EscrowAgent::isDrained() const {
  return std::all_of(this->Resources.begin(), this->Resources.end(),
                     [](const auto &Entry) {
                       const ResourceState &State = Entry.second;
                       return State.Ledger.holdsNoUnits() && !State.InFlight &&
                              !State.OutcomeUnknown;
                     });
}

void EscrowAgent::notifyAvailable(const ResourceId &Resource) {
  if (this->Handler)
    this->Handler(Resource);
}

} // namespace sardinerill
