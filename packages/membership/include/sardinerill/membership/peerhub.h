#pragma once

#include "sardinerill/base/metrics.h"
#include "sardinerill/membership/ipeers.h"
#include "sardinerill/membership/membership.h"

#include <boost/asio/io_context.hpp>
#include <memory>

/// \file
/// The door between daemons: websocket links that carry sealed messages.

namespace sardinerill {

class WebsocketLink;

/// Opens links as messages need them and keeps one for each peer.
class PeerHub : public IPeers {
public:
  PeerHub(boost::asio::io_context &Io, Membership &Members, PeerCodec Codec,
          Metrics &Figures);
  ~PeerHub() override;

  void setHandler(PeerHandler NewHandler) {
    this->Handler = std::move(NewHandler);
  }
  /// \returns an empty text, or why the door can't be opened.
  std::string listen(const std::string &Address, unsigned short Port);
  unsigned short port() const;
  void send(const DaemonId &To, const PeerMessage &Message) override;
  void stop();

private:
  struct Outbox;

  void received(std::uint64_t Link, const std::string &Frame);
  void opened(std::uint64_t Link);
  void closed(std::uint64_t Link);

  Membership &Members;
  PeerCodec Codec;
  Metrics &Figures;
  PeerHandler Handler;
  std::unique_ptr<WebsocketLink> Links;
  std::map<DaemonId, std::uint64_t> Open;
  std::map<DaemonId, Outbox> Connecting;
};

} // namespace sardinerill
