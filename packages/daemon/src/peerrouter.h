#pragma once

#include "sardinerill/control/fleetkeeper.h"
#include "sardinerill/control/maintenanceduty.h"
#include "sardinerill/escrow/escrowagent.h"
#include "sardinerill/membership/peerhub.h"

/// \file
/// Dispatches messages from peers to the modules that handle them, and sends
/// loan messages to peers.

namespace sardinerill {

/// Sends the escrow agent's loan messages through the peer connections.
class PeerLoanTransport : public ILoanPeers {
public:
  PeerLoanTransport(IPeers &Peers, const Membership &Members,
                    const IClock &Clock)
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

/// Passes each message from a peer to the module that handles it.
class PeerRouter {
public:
  PeerRouter(IPeers &Peers, Membership &Members, FleetKeeper &Replica,
             EscrowAgent &Escrow, MaintenanceDuty &Maintenance,
             const IClock &Clock)
      : Peers(Peers), Members(Members), Replica(Replica), Escrow(Escrow),
        Maintenance(Maintenance), Clock(Clock) {}

  void route(const DaemonId &From, const PeerMessage &Message) {
    std::visit([&](const auto &Content) { this->handle(From, Content); },
               Message);
  }

private:
  void handle(const DaemonId &From, const Gossip &Message) {
    this->Peers.send(From,
                     this->Members.answer(From, Message, this->Clock.now()));
    this->pollIfOutdated();
  }
  void handle(const DaemonId &, const GossipReply &Message) {
    this->Members.receive(Message, this->Clock.now());
    this->pollIfOutdated();
  }
  void handle(const DaemonId &From, const VersionHint &Message) {
    this->Replica.onVersionHint(From, Message.Version);
  }
  void handle(const DaemonId &From, const VersionAck &Message) {
    this->Members.noteVersion(From, Message.Version);
  }
  void handle(const DaemonId &From, const LoanAsk &Message) {
    this->Escrow.onLoanAsk(From, Message.Request);
  }
  void handle(const DaemonId &From, const LoanReply &Message) {
    this->Escrow.onLoanReply(From, Message.Ask, Message.Resource,
                             Message.Offer);
  }
  void handle(const DaemonId &, const LoanReturn &Message) {
    this->Escrow.onLoanReturn(Message.Resource, Message.Number);
  }
  void handle(const DaemonId &From, const FleetAsk &Message) {
    this->Replica.onFleetAsk(From, Message.Known);
  }
  void handle(const DaemonId &, const ReportPush &Message) {
    this->Members.receive(Message, this->Clock.now());
    this->Maintenance.kick();
  }
  void handle(const DaemonId &, const FleetReply &Message) {
    this->Replica.onFleetReply(Message);
  }

  /// Polls the fleet log if a peer has reported a newer version than the local
  /// one.
  void pollIfOutdated() {
    if (this->Members.newestHeard() > this->Replica.snapshot().Version)
      this->Replica.poll();
  }

  IPeers &Peers;
  Membership &Members;
  FleetKeeper &Replica;
  EscrowAgent &Escrow;
  MaintenanceDuty &Maintenance;
  const IClock &Clock;
};

} // namespace sardinerill
