#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// \file
/// Frames between daemons over websockets. Readable as C++17, which websocketpp
/// needs; all calls are made on the thread of the io_context.

namespace sardinerill {

using LinkId = std::uint64_t;

/// What happens on links.
struct LinkEvents {
  std::function<void(LinkId)> Opened;
  std::function<void(LinkId, std::string Frame)> Received;
  std::function<void(LinkId)> Closed;
};

/// Listens for peers and connects to them.
class WebsocketLink {
public:
  WebsocketLink(boost::asio::io_context &Io, LinkEvents Events);
  ~WebsocketLink();
  WebsocketLink(const WebsocketLink &) = delete;
  WebsocketLink &operator=(const WebsocketLink &) = delete;

  /// \returns an empty text, or why the door can't be opened.
  std::string listen(const std::string &Address, unsigned short Port);
  /// \returns the port listened on.
  unsigned short port() const;
  /// Starts to connect; Opened or Closed follows.
  LinkId connect(const std::string &Address, unsigned short Port);
  /// \returns false if the link is not open.
  bool send(LinkId Link, const std::string &Frame);
  void close(LinkId Link);
  /// Closes everything.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace sardinerill
