#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/escrow/escrowtypes.h"
#include "sardinerill/membership/membershiptypes.h"

#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Every message that daemons exchange, and its CBOR form.

namespace sardinerill {

/// Asks for and brings reports; answered by GossipReply.
struct Gossip {
  std::uint64_t Nonce = 0;
  /// Newest fleet version that the sender has heard of.
  FleetVersion Newest = 0;
  std::vector<GossipEntry> Entries;
  HeardAges Heard;
  friend bool operator==(const Gossip &, const Gossip &) = default;
};

/// Answers the Gossip of the same nonce, whose sending time bounds its age.
struct GossipReply {
  std::uint64_t Nonce = 0;
  /// Newest fleet version that the sender has heard of.
  FleetVersion Newest = 0;
  std::vector<GossipEntry> Entries;
  HeardAges Heard;
  friend bool operator==(const GossipReply &, const GossipReply &) = default;
};

/// A new version is in the table.
struct VersionHint {
  FleetVersion Version = 0;
  friend bool operator==(const VersionHint &, const VersionHint &) = default;
};

/// The version is in force at the sender.
struct VersionAck {
  FleetVersion Version = 0;
  friend bool operator==(const VersionAck &, const VersionAck &) = default;
};

/// Asks a holder for units of a resource.
struct LoanAsk {
  LoanRequest Request;
  friend bool operator==(const LoanAsk &, const LoanAsk &) = default;
};

/// Answers a LoanAsk; 0 units is a refusal.
struct LoanReply {
  std::uint64_t Ask = 0;
  ResourceId Resource;
  LoanOffer Offer;
  friend bool operator==(const LoanReply &, const LoanReply &) = default;
};

/// Gives a loan back to its lender.
struct LoanReturn {
  ResourceId Resource;
  LoanNumber Number = 0;
  friend bool operator==(const LoanReturn &, const LoanReturn &) = default;
};

/// Asks a peer for its fleet, for one that can't reach the platform.
struct FleetAsk {
  FleetVersion Known = 0;
  friend bool operator==(const FleetAsk &, const FleetAsk &) = default;
};

/// The whole fleet document of the sender.
struct FleetReply {
  FleetVersion Version = 0;
  nlohmann::json Document;
  friend bool operator==(const FleetReply &, const FleetReply &) = default;
};

/// A report sent at once, as when a drain has ended; not to be answered.
struct ReportPush {
  GossipEntry Entry;
  friend bool operator==(const ReportPush &, const ReportPush &) = default;
};

using PeerMessage =
    std::variant<Gossip, GossipReply, VersionHint, VersionAck, LoanAsk,
                 LoanReply, LoanReturn, FleetAsk, FleetReply, ReportPush>;

/// A message and who sent it.
struct PeerEnvelope {
  DaemonId From;
  PeerMessage Message;
  friend bool operator==(const PeerEnvelope &, const PeerEnvelope &) = default;
};

/// Seals and opens frames between daemons that share a secret.
class PeerCodec {
public:
  explicit PeerCodec(std::string Secret) : Secret(std::move(Secret)) {}

  /// \returns the frame: an authentication code, then CBOR.
  std::string encode(const PeerEnvelope &Envelope) const;
  /// \returns the envelope; NotPermitted if the code is wrong, BadRequest if
  /// the content is malformed. Never throws.
  Result<PeerEnvelope> decode(const std::string &Frame) const;

private:
  std::string sign(const std::string &Payload) const;

  std::string Secret;
};

} // namespace sardinerill
