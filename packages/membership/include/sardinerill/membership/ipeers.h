#pragma once

#include "sardinerill/membership/peermessages.h"

#include <functional>

/// \file
/// Messages to and from the other daemons.

namespace sardinerill {

/// Sends messages; delivery is not promised.
class IPeers {
public:
  virtual ~IPeers() = default;
  virtual void send(const DaemonId &To, const PeerMessage &Message) = 0;
};

/// Told of each message that arrives.
using PeerHandler =
    std::function<void(const DaemonId &From, const PeerMessage &Message)>;

} // namespace sardinerill
