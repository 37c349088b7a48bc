#pragma once

#include "sardinerill/membership/peermessages.h"

#include <functional>

/// \file
/// Interface for sending messages to the other daemons.

namespace sardinerill {

/// Sends messages to other daemons, without a delivery guarantee.
class IPeerSender {
public:
  virtual ~IPeerSender() = default;
  /// Sends \p Message to \p To, or drops it if \p To cannot be reached.
  virtual void send(const DaemonId &To, const PeerMessage &Message) = 0;
};

/// Called for each message received from a peer.
using PeerMessageHandler =
    std::function<void(const DaemonId &From, const PeerMessage &Message)>;

} // namespace sardinerill
