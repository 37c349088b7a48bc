#include "websocketlink.h"

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
/// Unsent bytes on a link above which send() drops the frame.
constexpr std::size_t MaxBufferedBytes = 8 * 1024 * 1024;
constexpr long OpenTimeoutMs = 1000;
constexpr long CloseTimeoutMs = 500;

} // namespace

struct WebsocketLink::Impl {
  Server Listening;
  Client Connecting;
  LinkEvents Events;
  LinkId LastId = 0;
  bool Listens = false;
  std::map<LinkId, Server::connection_ptr> Incoming;
  std::map<LinkId, Client::connection_ptr> Outgoing;

  template <typename Endpoint> void prepare(Endpoint &End) {
    End.clear_access_channels(websocketpp::log::alevel::all);
    End.clear_error_channels(websocketpp::log::elevel::all);
    End.set_max_message_size(MaxFrameBytes);
    End.set_open_handshake_timeout(OpenTimeoutMs);
    End.set_close_handshake_timeout(CloseTimeoutMs);
  }

  /// Reports the events of \p Connection under \p Id.
  template <typename Pointer>
  void watch(const Pointer &Connection, LinkId Id,
             std::map<LinkId, Pointer> &Links) {
    Connection->set_message_handler([this, Id](connection_hdl, auto Message) {
      this->Events.Received(Id, Message->get_payload());
    });
    auto Closed = [this, Id, &Links](connection_hdl) {
      if (Links.erase(Id) > 0)
        this->Events.Closed(Id);
    };
    Connection->set_close_handler(Closed);
    Connection->set_fail_handler(Closed);
  }

  template <typename Pointer>
  static bool sendOn(const Pointer &Connection, const std::string &Frame) {
    if (Connection->get_buffered_amount() > MaxBufferedBytes)
      return false;
    const auto Failed =
        Connection->send(Frame, websocketpp::frame::opcode::binary);
    return !Failed;
  }

  template <typename Pointer> static void closeOn(const Pointer &Connection) {
    std::error_code Ignored;
    Connection->close(websocketpp::close::status::going_away, "", Ignored);
  }
};

WebsocketLink::WebsocketLink(boost::asio::io_context &Io, LinkEvents Events)
    : Inner(std::make_unique<Impl>()) {
  this->Inner->Events = std::move(Events);
  this->Inner->prepare(this->Inner->Listening);
  this->Inner->prepare(this->Inner->Connecting);
  this->Inner->Listening.init_asio(&Io);
  this->Inner->Connecting.init_asio(&Io);
  this->Inner->Listening.set_reuse_addr(true);
  Impl *Self = this->Inner.get();
  Self->Listening.set_validate_handler([Self](connection_hdl Handle) {
    // Registered before the handshake completes, because frames may follow it
    // immediately.
    auto Connection = Self->Listening.get_con_from_hdl(Handle);
    const LinkId Id = ++Self->LastId;
    Self->Incoming[Id] = Connection;
    Self->watch(Connection, Id, Self->Incoming);
    return true;
  });
}

WebsocketLink::~WebsocketLink() = default;

std::string WebsocketLink::listen(const std::string &Address,
                                  unsigned short Port) {
  using boost::asio::ip::tcp;
  websocketpp::lib::error_code Failed;
  boost::system::error_code BadAddress;
  const auto Ip = boost::asio::ip::make_address(Address, BadAddress);
  if (BadAddress)
    return BadAddress.message();
  this->Inner->Listening.listen(tcp::endpoint(Ip, Port), Failed);
  if (Failed)
    return Failed.message();
  this->Inner->Listening.start_accept(Failed);
  if (Failed)
    return Failed.message();
  this->Inner->Listens = true;
  return "";
}

unsigned short WebsocketLink::port() const {
  websocketpp::lib::asio::error_code Ignored;
  return this->Inner->Listening.get_local_endpoint(Ignored).port();
}

LinkId WebsocketLink::connect(const std::string &Address, unsigned short Port) {
  Impl *Self = this->Inner.get();
  const LinkId Id = ++Self->LastId;
  const std::string Uri =
      "ws://" + Address + ":" + std::to_string(Port) + "/peers";
  websocketpp::lib::error_code Failed;
  auto Connection = Self->Connecting.get_connection(Uri, Failed);
  if (Failed)
    return 0;
  Self->Outgoing[Id] = Connection;
  Self->watch(Connection, Id, Self->Outgoing);
  Connection->set_open_handler(
      [Self, Id](connection_hdl) { Self->Events.Opened(Id); });
  Self->Connecting.connect(Connection);
  return Id;
}

bool WebsocketLink::send(LinkId Link, const std::string &Frame) {
  if (auto In = this->Inner->Incoming.find(Link);
      In != this->Inner->Incoming.end())
    return Impl::sendOn(In->second, Frame);
  if (auto Out = this->Inner->Outgoing.find(Link);
      Out != this->Inner->Outgoing.end())
    return Impl::sendOn(Out->second, Frame);
  return false;
}

void WebsocketLink::close(LinkId Link) {
  if (auto In = this->Inner->Incoming.find(Link);
      In != this->Inner->Incoming.end())
    Impl::closeOn(In->second);
  if (auto Out = this->Inner->Outgoing.find(Link);
      Out != this->Inner->Outgoing.end())
    Impl::closeOn(Out->second);
}

void WebsocketLink::stop() {
  websocketpp::lib::error_code Ignored;
  if (this->Inner->Listens)
    this->Inner->Listening.stop_listening(Ignored);
  this->Inner->Listens = false;
  // Iterates over copies: close() may remove a link from the maps immediately.
  const auto Incoming = this->Inner->Incoming;
  const auto Outgoing = this->Inner->Outgoing;
  for (const auto &[Id, Connection] : Incoming)
    Impl::closeOn(Connection);
  for (const auto &[Id, Connection] : Outgoing)
    Impl::closeOn(Connection);
}

} // namespace sardinerill
