#include "sardinerill/escrow/escrowagent.h"

#include <algorithm>

namespace sardinerill {

namespace {

constexpr Duration WantLasts = seconds(1);
/// The loan window starts when the borrower sends its request, and half of it
/// must be left when the offer arrives.
constexpr Duration WaiterLasts = milliseconds(800);
constexpr Duration AskTimeout = milliseconds(1200);
constexpr std::size_t ProbesBeforeWaiting = 4;
constexpr Duration CyclePause = milliseconds(50);
constexpr Duration FirstTablePause = milliseconds(250);
constexpr Duration LongestTablePause = seconds(4);
constexpr Duration PeakWindow = seconds(5);
/// A raise asks for at least the limit divided by this number, so that a busy
/// daemon does not write the row once per unit.
constexpr unsigned RaisePart = 16;
constexpr unsigned MaxUnitsPerLoan = 8;

} // namespace

EscrowAgent::EscrowAgent(EscrowAgentOptions Options, ITable &Table,
                         IBackground &Background, ILoanPeers &Peers,
                         PlatformGate &Gate, const IClock &Clock,
                         Metrics &Figures)
    : Options(std::move(Options)), Table(Table), Background(Background),
      Peers(Peers), Gate(Gate), Clock(Clock), Figures(Figures) {}

EscrowAgent::State &EscrowAgent::stateOf(const ResourceId &Resource) {
  auto Found = this->Resources.find(Resource);
  if (Found == this->Resources.end())
    Found = this->Resources
                .emplace(Resource, State(EscrowLedger(this->Options.Self,
                                                      this->Options.Times)))
                .first;
  return Found->second;
}

std::optional<UnitSource> EscrowAgent::tryStart(const ResourceId &Resource) {
  State &Current = this->stateOf(Resource);
  std::optional<UnitSource> Source = Current.Ledger.tryStart(this->Clock.now());
  if (Source) {
    Current.Peak = std::max(Current.Peak, Current.Ledger.committed());
    Current.Wanted -= std::min(Current.Wanted, 1U);
  }
  return Source;
}

void EscrowAgent::finish(const ResourceId &Resource, const UnitSource &Source) {
  State &Current = this->stateOf(Resource);
  Current.Ledger.finish(Source);
  this->serveWaiters(Resource, Current);
  this->notify(Resource);
  // Without local demand, idle loans are returned at once for others to use.
  if (Current.Wanted == 0)
    this->returnLoans(Resource, Current.Ledger.returnIdleLoans());
}

void EscrowAgent::want(const ResourceId &Resource, unsigned Units) {
  if (this->GivingBack || Units == 0)
    return;
  State &Current = this->stateOf(Resource);
  Current.Wanted = Units;
  Current.WantedUntil = this->Clock.now() + WantLasts;
  this->advance(Resource, Current);
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
                            std::uint64_t Version, EscrowTimes Times) {
  this->Options.Times = Times;
  std::map<ResourceId, ResourceLimit> Named;
  for (const ResourceLimit &Entry : Limits)
    Named[Entry.Resource] = Entry;
  for (const auto &[Resource, Current] : this->Resources)
    if (Current.Limit > 0)
      Named.try_emplace(Resource, ResourceLimit{Resource, 0, Version});
  for (auto &[Resource, Current] : this->Resources)
    Current.Ledger.setTimes(Times, this->Clock.now());
  for (const auto &[Resource, Entry] : Named) {
    State &Current = this->stateOf(Resource);
    if (Entry.Version <= Current.LimitVersion)
      continue;
    Current.Limit = Entry.Limit;
    Current.LimitVersion = Entry.Version;
    if (Current.InFlight || !Current.Ledger.isIdle())
      Current.Ledger.freeze(this->Clock.now());
    this->advance(Resource, Current);
  }
}

bool EscrowAgent::tableMayHelp(const State &Current) const {
  return !Current.RowKnown || Current.Row.Limit != Current.Limit ||
         totalUnits(Current.Row) < Current.Limit;
}

bool EscrowAgent::wants(const State &Current) const {
  const Instant Now = this->Clock.now();
  return Current.Wanted > 0 && Now < Current.WantedUntil &&
         Current.Ledger.available(Now) == 0;
}

unsigned EscrowAgent::raiseFor(const State &Current) const {
  const auto Daemons =
      static_cast<unsigned>(this->Peers.reachable().size()) + 1;
  const unsigned Fair = (Current.Limit + Daemons - 1) / Daemons;
  const unsigned Part = (Current.Limit + RaisePart - 1) / RaisePart;
  return std::min(std::max(Current.Wanted, Part), std::max(Fair, 1U));
}

void EscrowAgent::advance(const ResourceId &Resource, State &Current) {
  const Instant Now = this->Clock.now();
  if (Current.InFlight)
    return;
  if (Current.Ledger.isFrozen()) {
    if (Now >= Current.NextTable)
      this->startOperation(Resource, Current, {}, CallPriority::Urgent);
    return;
  }
  if (!this->wants(Current))
    return;
  if (this->tableMayHelp(Current) || Now >= Current.NextTable) {
    GrantOperation Raise;
    Raise.RaiseBy = this->raiseFor(Current);
    this->startOperation(Resource, Current, Raise, CallPriority::Normal);
  }
  this->askForLoan(Resource, Current);
}

void EscrowAgent::startOperation(const ResourceId &Resource, State &Current,
                                 GrantOperation Wanted, CallPriority Priority) {
  const Instant Now = this->Clock.now();
  // The backoff applies to table calls only: loans continue while the table is
  // unreachable.
  Current.TablePause =
      std::clamp(Current.TablePause * 2, FirstTablePause, LongestTablePause);
  Current.NextTable = Now + Current.TablePause;
  if (!this->Gate.allow(Priority, Now)) {
    this->Figures.count("platform_calls_held_total");
    return;
  }
  Wanted.Resource = Resource;
  Wanted.Self = this->Options.Self;
  Wanted.Limit = Current.Limit;
  Wanted.LimitVersion = Current.LimitVersion;
  Wanted.ForceWrite = Current.Uncertain;
  if (Current.Uncertain && !Wanted.LowerTo)
    Wanted.LowerTo = Current.Ledger.granted();
  Current.InFlight = true;
  runFor<GrantOutcome>(
      this->Background,
      [&Table = this->Table, Wanted] {
        return runGrantOperation(Table, Wanted);
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
    this->Figures.countRetry(RetryReason::PlatformConflict);
  this->Gate.record(Outcome.Certain || Outcome.Conflicts > 0,
                    this->Clock.now());
  if (!Outcome.Certain) {
    Current.Uncertain = true;
    this->Figures.countRetry(RetryReason::PlatformTimeout);
    return;
  }
  // A stale outcome must not restore units that were given up in the meantime.
  if (Outcome.AtLeast < Current.AtLeast)
    return;
  Current.Uncertain = false;
  Current.AtLeast = Outcome.AtLeast;
  Current.Row = Outcome.Row;
  Current.RowKnown = true;
  const unsigned Before = Current.Ledger.granted();
  Current.Ledger.applyGrant(grantOf(Outcome.Row, this->Options.Self));
  if (Current.Ledger.granted() > Before)
    Current.TablePause = Duration(0);
  // The limit changed while the operation was in flight.
  if (Outcome.Row.LimitVersion < Current.LimitVersion) {
    Current.Ledger.freeze(this->Clock.now());
    Current.NextTable = Instant{};
    this->advance(Resource, Current);
    return;
  }
  this->serveWaiters(Resource, Current);
  this->notify(Resource);
}

std::vector<DaemonId> EscrowAgent::lendersOf(const State &Current) const {
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

void EscrowAgent::askForLoan(const ResourceId &Resource, State &Current) {
  const Instant Now = this->Clock.now();
  if (Current.Asked && Now < Current.Asked->AskedAt + AskTimeout)
    return;
  if (Now < Current.NextAsk)
    return;
  const std::vector<DaemonId> Lenders = this->lendersOf(Current);
  if (Lenders.empty())
    return;
  // Probe a few lenders for idle units. If all of them refuse, ask the next one
  // to reply when a unit becomes free.
  const std::size_t Probes = std::min(Lenders.size(), ProbesBeforeWaiting);
  const bool MayWait = Current.RefusedInRow >= Probes;
  if (MayWait)
    Current.RefusedInRow = 0;
  const DaemonId &Lender = Lenders[Current.LenderCursor++ % Lenders.size()];
  Current.Asked = Question{this->NextAskNumber++, Now, MayWait};
  this->Figures.count("loans_asked_total");
  this->Peers.askLoan(
      Lender, LoanRequest{Current.Asked->Number, Resource,
                          std::min(Current.Wanted, MaxUnitsPerLoan), MayWait});
}

LoanOffer EscrowAgent::offer(State &Current, unsigned Units) {
  const Instant Now = this->Clock.now();
  // Keep half of the idle units, as the next request may arrive at this daemon.
  const unsigned Spare = (Current.Ledger.freeOwn() + 1) / 2;
  LoanOffer Offer =
      Current.Ledger.lend(std::min({Units, MaxUnitsPerLoan, Spare}), Now);
  Offer.LimitVersion = Current.LimitVersion;
  Current.Peak = std::max(Current.Peak, Current.Ledger.committed());
  return Offer;
}

void EscrowAgent::onLoanAsk(const DaemonId &From, const LoanRequest &Request) {
  State &Current = this->stateOf(Request.Resource);
  const LoanOffer Offer = this->offer(Current, Request.Units);
  const bool Waits = Request.MayWait && Current.Ledger.granted() > 0;
  if (Offer.Units > 0 || !Waits) {
    this->Peers.replyLoan(From, Request.Ask, Request.Resource, Offer);
    return;
  }
  Current.Waiters.push_back(Waiter{From, Request.Ask, Request.Units,
                                   this->Clock.now() + WaiterLasts});
}

void EscrowAgent::serveWaiters(const ResourceId &Resource, State &Current) {
  const Instant Now = this->Clock.now();
  while (!Current.Waiters.empty()) {
    const bool OwnWaits = Current.Wanted > 0 && Now < Current.WantedUntil;
    if (OwnWaits && Current.ServedWaiterLast) {
      Current.ServedWaiterLast = false;
      return;
    }
    const Waiter Next = Current.Waiters.front();
    const LoanOffer Offer = this->offer(Current, OwnWaits ? 1 : Next.Units);
    if (Offer.Units == 0)
      return;
    Current.Waiters.pop_front();
    Current.ServedWaiterLast = true;
    this->Peers.replyLoan(Next.Borrower, Next.Ask, Resource, Offer);
  }
}

void EscrowAgent::dropLateWaiters(const ResourceId &Resource, State &Current) {
  const Instant Now = this->Clock.now();
  while (!Current.Waiters.empty() && Now >= Current.Waiters.front().Until) {
    const Waiter Late = Current.Waiters.front();
    Current.Waiters.pop_front();
    this->Peers.replyLoan(Late.Borrower, Late.Ask, Resource, LoanOffer{});
  }
}

void EscrowAgent::onLoanReply(const DaemonId &, std::uint64_t Ask,
                              const ResourceId &Resource,
                              const LoanOffer &Offer) {
  State &Current = this->stateOf(Resource);
  if (!Current.Asked || Current.Asked->Number != Ask) {
    // The request is no longer pending, so the units go back to the lender at
    // once. A duplicate of an accepted reply must not return the loan.
    if (Offer.Units > 0 && !Current.Ledger.holdsLoan(Offer.Id))
      this->Peers.returnLoan(Offer.Id, Resource);
    return;
  }
  const Question Answered = *Current.Asked;
  Current.Asked.reset();
  // A lender with an older limit may lend units that no longer exist. A lender
  // that assumes shorter runs would reclaim the units too early.
  const bool Outdated = Offer.LimitVersion < Current.LimitVersion ||
                        Offer.MaxRun < this->Options.Times.MaxRun;
  if (Outdated && Offer.Units > 0)
    this->Peers.returnLoan(Offer.Id, Resource);
  if (Offer.Units == 0 || Outdated) {
    ++Current.RefusedInRow;
    // Probes follow each other at once; a full cycle of them is followed by a
    // pause.
    if (Answered.MayWait)
      Current.NextAsk = this->Clock.now() + CyclePause;
    if (this->wants(Current))
      this->askForLoan(Resource, Current);
    return;
  }
  Current.RefusedInRow = 0;
  this->Figures.count("loans_received_total");
  Current.Ledger.acceptLoan(Offer, Answered.AskedAt);
  this->notify(Resource);
}

void EscrowAgent::onLoanReturn(const ResourceId &Resource, LoanNumber Number) {
  State &Current = this->stateOf(Resource);
  Current.Ledger.loanReturned(Number);
  this->serveWaiters(Resource, Current);
  this->notify(Resource);
}

void EscrowAgent::returnLoans(const ResourceId &Resource,
                              const std::vector<LoanId> &Loans) {
  for (const LoanId &Loan : Loans)
    this->Peers.returnLoan(Loan, Resource);
}

void EscrowAgent::giveBackIdle(const ResourceId &Resource, State &Current) {
  const Instant Now = this->Clock.now();
  const bool Over = Current.Ledger.granted() > Current.Ledger.target();
  const bool WindowOver =
      Now >= Current.PeakSince + this->Options.GiveBackAfter;
  if (!Over && !WindowOver && !this->GivingBack && !Current.Uncertain)
    return;
  const bool OthersWait = totalUnits(Current.Row) >= Current.Limit;
  const unsigned Wanted = OthersWait ? Current.Peak : Current.Ledger.target();
  const unsigned Keep = this->GivingBack ? 0 : Wanted;
  if (WindowOver) {
    Current.Peak = Current.Ledger.committed();
    Current.PeakSince = Now;
  }
  if (Current.InFlight || Now < Current.NextTable)
    return;
  GrantOperation Lower;
  // While the row has free units, no other daemon needs these: keep them.
  if (OthersWait || Over || this->GivingBack)
    Lower.LowerTo = Current.Ledger.prepareLowering(Keep);
  if (Lower.LowerTo || Current.Uncertain)
    this->startOperation(Resource, Current, Lower, CallPriority::Background);
}

void EscrowAgent::tick() {
  const Instant Now = this->Clock.now();
  for (auto &[Resource, Current] : this->Resources) {
    this->returnLoans(Resource, Current.Ledger.expire(Now));
    const bool Wants = Current.Wanted > 0 && Now < Current.WantedUntil;
    if (!Wants)
      this->returnLoans(Resource, Current.Ledger.returnIdleLoans());
    this->dropLateWaiters(Resource, Current);
    this->serveWaiters(Resource, Current);
    this->giveBackIdle(Resource, Current);
    this->advance(Resource, Current);
  }
}

void EscrowAgent::recover(
    const std::function<bool(const DaemonId &)> &IsPredecessor,
    std::function<void(bool)> Done) {
  using Found = Result<std::vector<LeftBehind>>;
  runFor<Found>(
      this->Background,
      [&Table = this->Table, IsPredecessor] {
        return findHoldings(Table, IsPredecessor);
      },
      [this, Done = std::move(Done)](Found Holdings) {
        if (!Holdings) {
          Done(false);
          return;
        }
        for (const LeftBehind &Left : *Holdings) {
          State &Current = this->stateOf(Left.Resource);
          if (Current.InFlight) {
            Done(false);
            return;
          }
          // Count the units as in use before changing the row, so that the
          // predecessor's tasks are accounted for if the outcome is unknown.
          if (Current.Inherited.insert(Left.Holder).second)
            Current.Ledger.applyInherited(Left.Units, this->Clock.now());
          GrantOperation Inherit;
          Inherit.InheritFrom = Left.Holder;
          this->startOperation(Left.Resource, Current, Inherit,
                               CallPriority::Urgent);
        }
        Done(Holdings->empty());
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
  if (Current.Uncertain)
    Text += " uncertain";
  return Text;
}

void EscrowAgent::beginGiveBack() { this->GivingBack = true; }

bool EscrowAgent::holdsNothing() const {
  return std::all_of(this->Resources.begin(), this->Resources.end(),
                     [](const auto &Entry) {
                       const State &Current = Entry.second;
                       return Current.Ledger.isIdle() && !Current.InFlight &&
                              !Current.Uncertain;
                     });
}

void EscrowAgent::notify(const ResourceId &Resource) {
  if (this->Handler)
    this->Handler(Resource);
}

} // namespace sardinerill
