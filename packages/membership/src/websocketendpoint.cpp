#include "websocketendpoint.h"

#include <map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace sardinerill {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

/// Large enough for a complete fleet document.
constexpr std::size_t MaxFrameBytes = 4 * 1024 * 1024;
/// Unsent bytes on a link above which send() refuses the frame.
constexpr std::size_t MaxBufferedBytes = 8 * 1024 * 1024;
constexpr long OpenHandshakeTimeoutMs = 1000;
constexpr long CloseHandshakeTimeoutMs = 500;

} // namespace

struct WebsocketEndpoint::Impl {
  Server Listener;
  Client Connector;
  LinkCallbacks Callbacks;
  LinkId LastId = 0;
  bool IsListening = false;
  std::map<LinkId, Server::connection_ptr> Incoming;
  std::map<LinkId, Client::connection_ptr> Outgoing;

  template <typename Endpoint> void prepare(Endpoint &End) {
    End.clear_access_channels(websocketpp::log::alevel::all);
    End.clear_error_channels(websocketpp::log::elevel::all);
    End.set_max_message_size(MaxFrameBytes);
    End.set_open_handshake_timeout(OpenHandshakeTimeoutMs);
    End.set_close_handshake_timeout(CloseHandshakeTimeoutMs);
  }

  /// Registers the handlers for received messages, closing and failure of
  /// \p Connection, which call the callbacks with \p Id.
  template <typename Pointer>
  void registerHandlers(const Pointer &Connection, LinkId Id,
                        std::map<LinkId, Pointer> &Links) {
    Connection->set_message_handler([this, Id](connection_hdl, auto Message) {
      this->Callbacks.Received(Id, Message->get_payload());
    });
    auto HandleClosed = [this, Id, &Links](connection_hdl) {
      if (Links.erase(Id) > 0)
        this->Callbacks.Closed(Id);
    };
    Connection->set_close_handler(HandleClosed);
    Connection->set_fail_handler(HandleClosed);
  }

  template <typename Pointer>
  static bool sendFrame(const Pointer &Connection, const std::string &Frame) {
    if (Connection->get_buffered_amount() > MaxBufferedBytes)
      return false;
    const auto Ec = Connection->send(Frame, websocketpp::frame::opcode::binary);
    return !Ec;
  }

  template <typename Pointer>
  static void closeConnection(const Pointer &Connection) {
    std::error_code Ignored;
    Connection->close(websocketpp::close::status::going_away, "", Ignored);
  }
};

WebsocketEndpoint::WebsocketEndpoint(boost::asio::io_context &Io,
                                     LinkCallbacks Callbacks)
    : Inner(std::make_unique<Impl>()) {
  this->Inner->Callbacks = std::move(Callbacks);
  this->Inner->prepare(this->Inner->Listener);
  this->Inner->prepare(this->Inner->Connector);
  this->Inner->Listener.init_asio(&Io);
  this->Inner->Connector.init_asio(&Io);
  this->Inner->Listener.set_reuse_addr(true);
  Impl *Self = this->Inner.get();
  Self->Listener.set_validate_handler([Self](connection_hdl Handle) {
    // Registered before the handshake completes, because frames may follow it
    // immediately.
    auto Connection = Self->Listener.get_con_from_hdl(Handle);
    const LinkId Id = ++Self->LastId;
    Self->Incoming[Id] = Connection;
    Self->registerHandlers(Connection, Id, Self->Incoming);
    return true;
  });
}

WebsocketEndpoint::~WebsocketEndpoint() = default;

std::string WebsocketEndpoint::listen(const std::string &Address,
                                      unsigned short Port) {
  using boost::asio::ip::tcp;
  websocketpp::lib::error_code Ec;
  boost::system::error_code AddressEc;
  const auto Ip = boost::asio::ip::make_address(Address, AddressEc);
  if (AddressEc)
    return AddressEc.message();
  this->Inner->Listener.listen(tcp::endpoint(Ip, Port), Ec);
  if (Ec)
    return Ec.message();
  this->Inner->Listener.start_accept(Ec);
  if (Ec)
    return Ec.message();
  this->Inner->IsListening = true;
  return "";
}

unsigned short WebsocketEndpoint::port() const {
  websocketpp::lib::asio::error_code Ignored;
  return this->Inner->Listener.get_local_endpoint(Ignored).port();
}

LinkId WebsocketEndpoint::connect(const std::string &Address,
                                  unsigned short Port) {
  Impl *Self = this->Inner.get();
  const LinkId Id = ++Self->LastId;
  const std::string Uri =
      "ws://" + Address + ":" + std::to_string(Port) + "/peers";
  websocketpp::lib::error_code Ec;
  auto Connection = Self->Connector.get_connection(Uri, Ec);
  if (Ec)
    return 0;
  Self->Outgoing[Id] = Connection;
  Self->registerHandlers(Connection, Id, Self->Outgoing);
  Connection->set_open_handler(
      [Self, Id](connection_hdl) { Self->Callbacks.Opened(Id); });
  Self->Connector.connect(Connection);
  return Id;
}

bool WebsocketEndpoint::send(LinkId Link, const std::string &Frame) {
  if (auto In = this->Inner->Incoming.find(Link);
      In != this->Inner->Incoming.end())
    return Impl::sendFrame(In->second, Frame);
  if (auto Out = this->Inner->Outgoing.find(Link);
      Out != this->Inner->Outgoing.end())
    return Impl::sendFrame(Out->second, Frame);
  return false;
}

void WebsocketEndpoint::close(LinkId Link) {
  if (auto In = this->Inner->Incoming.find(Link);
      In != this->Inner->Incoming.end())
    Impl::closeConnection(In->second);
  if (auto Out = this->Inner->Outgoing.find(Link);
      Out != this->Inner->Outgoing.end())
    Impl::closeConnection(Out->second);
}

void WebsocketEndpoint::stop() {
  websocketpp::lib::error_code Ignored;
  if (this->Inner->IsListening)
    this->Inner->Listener.stop_listening(Ignored);
  this->Inner->IsListening = false;
  // Iterates over copies: close() may remove a link from the maps immediately.
  const auto Incoming = this->Inner->Incoming;
  const auto Outgoing = this->Inner->Outgoing;
  for (const auto &[Id, Connection] : Incoming)
    Impl::closeConnection(Connection);
  for (const auto &[Id, Connection] : Outgoing)
    Impl::closeConnection(Connection);
}

} // namespace sardinerill
