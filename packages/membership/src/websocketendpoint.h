#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// \file
/// Websocket transport of frames between daemons. This header must compile as
/// C++17, which websocketpp requires. All calls and callbacks are made on the
/// thread of the io_context.

namespace sardinerill {

using LinkId = std::uint64_t;

/// Callbacks for events on links.
struct LinkCallbacks {
  /// A link started by connect() is open. Not called for incoming links.
  std::function<void(LinkId)> Opened;
  /// A frame was received on a link, incoming or not.
  std::function<void(LinkId, std::string Frame)> Received;
  /// A link was closed or could not be opened.
  std::function<void(LinkId)> Closed;
};

/// Accepts websocket links from peers and opens links to them.
class WebsocketEndpoint {
public:
  WebsocketEndpoint(boost::asio::io_context &Io, LinkCallbacks Callbacks);
  ~WebsocketEndpoint();
  WebsocketEndpoint(const WebsocketEndpoint &) = delete;
  WebsocketEndpoint &operator=(const WebsocketEndpoint &) = delete;

  /// \returns an empty string, or the reason why listening failed.
  std::string listen(const std::string &Address, unsigned short Port);
  /// \returns the port listened on.
  unsigned short port() const;
  /// Starts to connect; Opened or Closed is called later.
  /// \returns the id of the new link, or 0 if the address is invalid.
  LinkId connect(const std::string &Address, unsigned short Port);
  /// \returns false if the link is not open or its send buffer is full.
  bool send(LinkId Link, const std::string &Frame);
  void close(LinkId Link);
  /// Stops listening and closes all links.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace sardinerill
