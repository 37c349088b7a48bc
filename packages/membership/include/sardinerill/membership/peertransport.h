#pragma once

#include "sardinerill/base/metrics.h"
#include "sardinerill/membership/ipeersender.h"
#include "sardinerill/membership/membership.h"

#include <boost/asio/io_context.hpp>
#include <memory>

/// \file
/// Transport between daemons: websocket links that carry authenticated
/// messages.

namespace sardinerill {

class WebsocketEndpoint;

/// Sends and receives messages of peers. Reuses an open link to
/// the peer, opened by either side, and connects if there is none.
class PeerTransport : public IPeerSender {
public:
  PeerTransport(boost::asio::io_context &Io, Membership &Members,
                PeerCodec Codec, Metrics &Stats);
  ~PeerTransport() override;

  void setHandler(PeerMessageHandler NewHandler) {
    this->Handler = std::move(NewHandler);
  }
  /// \returns an empty string, or the reason why listening failed.
  std::string listen(const std::string &Address, unsigned short Port);
  /// \returns the port listened on.
  unsigned short port() const;
  /// Encodes and sends \p Message. It is dropped if the address of \p To is
  /// unknown, the connection fails, or too many messages wait for a link that
  /// is being opened. If sending on an open link fails or its send buffer is
  /// full, that link is closed and the message is sent on a new one.
  void send(const DaemonId &To, const PeerMessage &Message) override;
  /// Stops listening and closes all links.
  void stop();

private:
  struct PendingLink;

  void handleFrame(std::uint64_t Link, const std::string &Frame);
  void handleOpened(std::uint64_t Link);
  void handleClosed(std::uint64_t Link);

  Membership &Members;
  PeerCodec Codec;
  Metrics &Stats;
  PeerMessageHandler Handler;
  std::unique_ptr<WebsocketEndpoint> Websockets;
  std::map<DaemonId, std::uint64_t> OpenLinks;
  std::map<DaemonId, PendingLink> PendingLinks;
};

} // namespace sardinerill
