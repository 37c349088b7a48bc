#pragma once

#include "sardinerill/control/fleetreplica.h"
#include "sardinerill/control/maintenancecontroller.h"
#include "sardinerill/escrow/escrowagent.h"
#include "sardinerill/membership/peertransport.h"

/// \file
/// Dispatches messages from peers to the modules that handle them, and sends
/// loan messages to peers.

namespace sardinerill {

/// Sends the escrow agent's loan messages through the peer connections.
class LoanMessageSender : public ILoanPeers {
public:
  LoanMessageSender(IPeerSender &Peers, const Membership &Members,
                    const IClock &Clock)
      : Peers(Peers), Members(Members), Clock(Clock) {}

  void sendLoanRequest(const DaemonId &Lender,
                       const LoanRequest &Request) override {
    this->Peers.send(Lender, LoanRequestMessage{Request});
  }
  void sendLoanReply(const DaemonId &Borrower, std::uint64_t RequestNumber,
                     const ResourceId &Resource,
                     const LoanOffer &Offer) override {
    this->Peers.send(Borrower, LoanReply{RequestNumber, Resource, Offer});
  }
  void sendLoanReturn(const LoanId &Loan, const ResourceId &Resource) override {
    this->Peers.send(Loan.Lender, LoanReturn{Resource, Loan.Number});
  }
  std::vector<DaemonId> reachable() const override {
    return this->Members.aliveMembers(this->Clock.now());
  }

private:
  IPeerSender &Peers;
  const Membership &Members;
  const IClock &Clock;
};

/// Passes each message from a peer to the module that handles it.
class PeerRouter {
public:
  PeerRouter(IPeerSender &Peers, Membership &Members, FleetReplica &Replica,
             EscrowAgent &Escrow, MaintenanceController &Maintenance,
             const IClock &Clock)
      : Peers(Peers), Members(Members), Replica(Replica), Escrow(Escrow),
        Maintenance(Maintenance), Clock(Clock) {}

  void route(const DaemonId &From, const PeerMessage &Message) {
    std::visit([&](const auto &Content) { this->handle(From, Content); },
               Message);
  }

private:
  void handle(const DaemonId &From, const Gossip &Message) {
    this->Peers.send(
        From, this->Members.handleGossip(From, Message, this->Clock.now()));
    this->pollIfOutdated();
  }
  void handle(const DaemonId &, const GossipReply &Message) {
    this->Members.handleGossipReply(Message, this->Clock.now());
    this->pollIfOutdated();
  }
  void handle(const DaemonId &From, const VersionHint &Message) {
    this->Replica.onVersionHint(From, Message.Version);
  }
  void handle(const DaemonId &From, const VersionAck &Message) {
    this->Members.recordVersionAck(From, Message.Version);
  }
  void handle(const DaemonId &From, const LoanRequestMessage &Message) {
    this->Escrow.onLoanRequest(From, Message.Request);
  }
  void handle(const DaemonId &From, const LoanReply &Message) {
    this->Escrow.onLoanReply(From, Message.RequestNumber, Message.Resource,
                             Message.Offer);
  }
  void handle(const DaemonId &, const LoanReturn &Message) {
    this->Escrow.onLoanReturn(Message.Resource, Message.Number);
  }
  void handle(const DaemonId &From, const FleetRequest &Message) {
    this->Replica.onFleetRequest(From, Message.KnownVersion);
  }
  void handle(const DaemonId &, const ReportPush &Message) {
    this->Members.handleReportPush(Message, this->Clock.now());
    this->Maintenance.startRoundNow();
  }
  void handle(const DaemonId &, const FleetReply &Message) {
    this->Replica.onFleetReply(Message);
  }

  /// Polls the fleet log if a peer has reported a newer version than the local
  /// one.
  void pollIfOutdated() {
    if (this->Members.newestKnownVersion() > this->Replica.snapshot().Version)
      this->Replica.poll();
  }

  IPeerSender &Peers;
  Membership &Members;
  FleetReplica &Replica;
  EscrowAgent &Escrow;
  MaintenanceController &Maintenance;
  const IClock &Clock;
};

} // namespace sardinerill
