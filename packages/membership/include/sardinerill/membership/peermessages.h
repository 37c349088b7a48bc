#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/escrow/escrowtypes.h"
#include "sardinerill/membership/membershiptypes.h"

#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

/// \file
/// All messages that daemons exchange, and their CBOR encoding.

namespace sardinerill {

/// Contains reports known to the sender and requests those known to the
/// receiver, which replies with GossipReply.
struct Gossip {
  std::uint64_t Nonce = 0;
  /// Newest fleet version known to the sender.
  FleetVersion NewestVersion = 0;
  std::vector<GossipEntry> Entries;
  LastSeenAges LastSeen;
  friend bool operator==(const Gossip &, const Gossip &) = default;
};

/// Reply to the Gossip message with the same nonce, which proves that the reply
/// was created after that message was sent.
struct GossipReply {
  std::uint64_t Nonce = 0;
  /// Newest fleet version known to the sender.
  FleetVersion NewestVersion = 0;
  std::vector<GossipEntry> Entries;
  LastSeenAges LastSeen;
  friend bool operator==(const GossipReply &, const GossipReply &) = default;
};

/// Announces that a new fleet version was written to the platform's table.
struct VersionHint {
  FleetVersion Version = 0;
  friend bool operator==(const VersionHint &, const VersionHint &) = default;
};

/// Acknowledges that the fleet version is in force at the sender.
struct VersionAck {
  FleetVersion Version = 0;
  friend bool operator==(const VersionAck &, const VersionAck &) = default;
};

/// Requests a loan of units of a resource from a daemon that owns some.
struct LoanRequestMessage {
  LoanRequest Request;
  friend bool operator==(const LoanRequestMessage &,
                         const LoanRequestMessage &) = default;
};

/// Reply to LoanRequestMessage. Offer.Units is 0 if the request is refused.
struct LoanReply {
  std::uint64_t RequestNumber = 0;
  ResourceId Resource;
  LoanOffer Offer;
  friend bool operator==(const LoanReply &, const LoanReply &) = default;
};

/// Returns a loan to its lender.
struct LoanReturn {
  ResourceId Resource;
  LoanNumber Number = 0;
  friend bool operator==(const LoanReturn &, const LoanReturn &) = default;
};

/// Requests the fleet document from a peer, when the platform cannot be
/// reached.
struct FleetRequest {
  FleetVersion KnownVersion = 0;
  friend bool operator==(const FleetRequest &, const FleetRequest &) = default;
};

/// Reply to FleetRequest: the complete fleet document of the sender.
struct FleetReply {
  FleetVersion Version = 0;
  nlohmann::json Document;
  friend bool operator==(const FleetReply &, const FleetReply &) = default;
};

/// A report sent without waiting for the next gossip round, for example at the
/// end of a drain. It has no reply.
struct ReportPush {
  GossipEntry Entry;
  friend bool operator==(const ReportPush &, const ReportPush &) = default;
};

/// The index of an alternative is its message type on the wire: only append.
using PeerMessage = std::variant<Gossip, GossipReply, VersionHint, VersionAck,
                                 LoanRequestMessage, LoanReply, LoanReturn,
                                 FleetRequest, FleetReply, ReportPush>;

/// A message and its sender.
struct PeerEnvelope {
  DaemonId From;
  PeerMessage Message;
  friend bool operator==(const PeerEnvelope &, const PeerEnvelope &) = default;
};

/// Encodes messages into frames authenticated with the secret that all
/// daemons share, and verifies and decodes received frames.
class PeerCodec {
public:
  explicit PeerCodec(std::string Secret) : Secret(std::move(Secret)) {}

  /// \returns the frame: a message authentication code followed by CBOR.
  std::string encode(const PeerEnvelope &Envelope) const;
  /// \returns the envelope; NotPermitted if the authentication code is wrong,
  /// BadRequest if the content is malformed. Never throws on malformed input.
  Result<PeerEnvelope> decode(const std::string &Frame) const;

private:
  std::string computeMac(const std::string &Payload) const;

  std::string Secret;
};

} // namespace sardinerill
