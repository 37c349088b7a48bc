#pragma once

#include "sardinerill/control/fleetkeeper.h"
#include "sardinerill/control/maintenanceduty.h"
#include "sardinerill/escrow/escrowagent.h"
#include "sardinerill/membership/peerhub.h"

/// \file
/// Brings each peer message to the module it is for, and back.

namespace sardinerill {

/// Loan messages as peer messages.
class LoanPeers : public ILoanPeers {
public:
  LoanPeers(IPeers &Peers, const Membership &Members, const IClock &Clock)
      : Peers(Peers), Members(Members), Clock(Clock) {}

  void askLoan(const DaemonId &Lender, const LoanRequest &Request) override {
    this->Peers.send(Lender, LoanAsk{Request});
  }
  void replyLoan(const DaemonId &Borrower, std::uint64_t Ask,
                 const ResourceId &Resource, const LoanOffer &Offer) override {
    this->Peers.send(Borrower, LoanReply{Ask, Resource, Offer});
  }
  void returnLoan(const LoanId &Loan, const ResourceId &Resource) override {
    this->Peers.send(Loan.Lender, LoanReturn{Resource, Loan.Number});
  }
  std::vector<DaemonId> reachable() const override {
    return this->Members.alive(this->Clock.now());
  }

private:
  IPeers &Peers;
  const Membership &Members;
  const IClock &Clock;
};

/// One overload for each message.
class PeerRouter {
public:
  PeerRouter(IPeers &Peers, Membership &Members, FleetKeeper &Keeper,
             EscrowAgent &Escrow, MaintenanceDuty &Maintenance,
             const IClock &Clock)
      : Peers(Peers), Members(Members), Keeper(Keeper), Escrow(Escrow),
        Maintenance(Maintenance), Clock(Clock) {}

  void route(const DaemonId &From, const PeerMessage &Message) {
    std::visit([&](const auto &Each) { this->take(From, Each); }, Message);
  }

private:
  void take(const DaemonId &From, const Gossip &M) {
    this->Peers.send(From, this->Members.answer(From, M, this->Clock.now()));
    this->followNewest();
  }
  void take(const DaemonId &, const GossipReply &M) {
    this->Members.receive(M, this->Clock.now());
    this->followNewest();
  }
  void take(const DaemonId &From, const VersionHint &M) {
    this->Keeper.onVersionHint(From, M.Version);
  }
  void take(const DaemonId &From, const VersionAck &M) {
    this->Members.noteVersion(From, M.Version);
  }
  void take(const DaemonId &From, const LoanAsk &M) {
    this->Escrow.onLoanAsk(From, M.Request);
  }
  void take(const DaemonId &From, const LoanReply &M) {
    this->Escrow.onLoanReply(From, M.Ask, M.Resource, M.Offer);
  }
  void take(const DaemonId &, const LoanReturn &M) {
    this->Escrow.onLoanReturn(M.Resource, M.Number);
  }
  void take(const DaemonId &From, const FleetAsk &M) {
    this->Keeper.onFleetAsk(From, M.Known);
  }
  void take(const DaemonId &, const ReportPush &M) {
    this->Members.receive(M, this->Clock.now());
    this->Maintenance.kick();
  }
  void take(const DaemonId &, const FleetReply &M) {
    this->Keeper.onFleetReply(M);
  }

  void followNewest() {
    if (this->Members.newestHeard() > this->Keeper.snapshot().Version)
      this->Keeper.poll();
  }

  IPeers &Peers;
  Membership &Members;
  FleetKeeper &Keeper;
  EscrowAgent &Escrow;
  MaintenanceDuty &Maintenance;
  const IClock &Clock;
};

} // namespace sardinerill
