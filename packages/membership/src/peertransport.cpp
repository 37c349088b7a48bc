#include "sardinerill/membership/peertransport.h"

#include "websocketendpoint.h"

namespace sardinerill {

namespace {

/// Frames queued per peer while its link opens; further ones are dropped.
constexpr std::size_t MaxQueuedFrames = 64;

} // namespace

/// A link that is being opened, and the frames to send on it.
struct PeerTransport::PendingLink {
  LinkId Link = 0;
  std::vector<std::string> Frames;
};

PeerTransport::PeerTransport(boost::asio::io_context &Io, Membership &Members,
                             PeerCodec Codec, Metrics &Stats)
    : Members(Members), Codec(std::move(Codec)), Stats(Stats) {
  LinkCallbacks Callbacks;
  Callbacks.Opened = [this](LinkId Link) { this->handleOpened(Link); };
  Callbacks.Closed = [this](LinkId Link) { this->handleClosed(Link); };
  Callbacks.Received = [this](LinkId Link, const std::string &Frame) {
    this->handleFrame(Link, Frame);
  };
  this->Websockets =
      std::make_unique<WebsocketEndpoint>(Io, std::move(Callbacks));
}

PeerTransport::~PeerTransport() = default;

std::string PeerTransport::listen(const std::string &Address,
                                  unsigned short Port) {
  return this->Websockets->listen(Address, Port);
}

unsigned short PeerTransport::port() const { return this->Websockets->port(); }

void PeerTransport::stop() { this->Websockets->stop(); }

void PeerTransport::send(const DaemonId &To, const PeerMessage &Message) {
  const std::string Frame =
      this->Codec.encode(PeerEnvelope{this->Members.self(), Message});
  // Counts all encoded frames, including those dropped below.
  this->Stats.count("peer_frames_sent_total");
  this->Stats.count("peer_bytes_sent_total", Frame.size());
  if (auto Link = this->OpenLinks.find(To); Link != this->OpenLinks.end()) {
    if (this->Websockets->send(Link->second, Frame))
      return;
    // Forgotten first: closing may call handleClosed().
    const LinkId Unusable = Link->second;
    this->OpenLinks.erase(Link);
    this->Websockets->close(Unusable);
  }
  if (auto Pending = this->PendingLinks.find(To);
      Pending != this->PendingLinks.end()) {
    if (Pending->second.Frames.size() < MaxQueuedFrames)
      Pending->second.Frames.push_back(Frame);
    return;
  }
  const std::optional<PeerEndpoint> Endpoint = this->Members.endpointOf(To);
  if (!Endpoint)
    return;
  const LinkId Link =
      this->Websockets->connect(Endpoint->Address, Endpoint->Port);
  if (Link != 0)
    this->PendingLinks.emplace(To, PendingLink{Link, {Frame}});
}

void PeerTransport::handleOpened(LinkId Link) {
  for (auto Entry = this->PendingLinks.begin();
       Entry != this->PendingLinks.end(); ++Entry) {
    if (Entry->second.Link != Link)
      continue;
    for (const std::string &Frame : Entry->second.Frames)
      this->Websockets->send(Link, Frame);
    this->OpenLinks[Entry->first] = Link;
    this->PendingLinks.erase(Entry);
    return;
  }
}

void PeerTransport::handleClosed(LinkId Link) {
  std::erase_if(this->OpenLinks,
                [&](const auto &Entry) { return Entry.second == Link; });
  std::erase_if(this->PendingLinks,
                [&](const auto &Entry) { return Entry.second.Link == Link; });
}

void PeerTransport::handleFrame(LinkId Link, const std::string &Frame) {
  this->Stats.count("peer_bytes_received_total", Frame.size());
  Result<PeerEnvelope> Envelope = this->Codec.decode(Frame);
  if (!Envelope) {
    this->Stats.count("peer_frames_rejected_total");
    this->Websockets->close(Link);
    return;
  }
  if (Envelope->From == this->Members.self())
    return;
  this->OpenLinks.try_emplace(Envelope->From, Link);
  if (this->Handler)
    this->Handler(Envelope->From, Envelope->Message);
}

} // namespace sardinerill
