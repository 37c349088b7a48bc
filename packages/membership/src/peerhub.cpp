#include "sardinerill/membership/peerhub.h"

#include "websocketlink.h"

namespace sardinerill {

namespace {

/// Messages queued per peer while its link opens; further ones are dropped.
constexpr std::size_t MaxWaiting = 64;

} // namespace

/// A link that is being opened, and the frames to send on it.
struct PeerHub::Outbox {
  LinkId Link = 0;
  std::vector<std::string> Frames;
};

PeerHub::PeerHub(boost::asio::io_context &Io, Membership &Members,
                 PeerCodec Codec, Metrics &Figures)
    : Members(Members), Codec(std::move(Codec)), Figures(Figures) {
  LinkEvents Events;
  Events.Opened = [this](LinkId Link) { this->opened(Link); };
  Events.Closed = [this](LinkId Link) { this->closed(Link); };
  Events.Received = [this](LinkId Link, const std::string &Frame) {
    this->received(Link, Frame);
  };
  this->Links = std::make_unique<WebsocketLink>(Io, std::move(Events));
}

PeerHub::~PeerHub() = default;

std::string PeerHub::listen(const std::string &Address, unsigned short Port) {
  return this->Links->listen(Address, Port);
}

unsigned short PeerHub::port() const { return this->Links->port(); }

void PeerHub::stop() { this->Links->stop(); }

void PeerHub::send(const DaemonId &To, const PeerMessage &Message) {
  const std::string Frame =
      this->Codec.encode(PeerEnvelope{this->Members.self(), Message});
  this->Figures.count("peer_frames_sent_total");
  this->Figures.count("peer_bytes_sent_total", Frame.size());
  if (auto Link = this->Open.find(To); Link != this->Open.end()) {
    if (this->Links->send(Link->second, Frame))
      return;
    this->Open.erase(Link);
  }
  if (auto Waiting = this->Connecting.find(To);
      Waiting != this->Connecting.end()) {
    if (Waiting->second.Frames.size() < MaxWaiting)
      Waiting->second.Frames.push_back(Frame);
    return;
  }
  const std::optional<Contact> Where = this->Members.contactOf(To);
  if (!Where)
    return;
  const LinkId Link = this->Links->connect(Where->Address, Where->Port);
  if (Link != 0)
    this->Connecting.emplace(To, Outbox{Link, {Frame}});
}

void PeerHub::opened(LinkId Link) {
  for (auto Entry = this->Connecting.begin(); Entry != this->Connecting.end();
       ++Entry) {
    if (Entry->second.Link != Link)
      continue;
    for (const std::string &Frame : Entry->second.Frames)
      this->Links->send(Link, Frame);
    this->Open[Entry->first] = Link;
    this->Connecting.erase(Entry);
    return;
  }
}

void PeerHub::closed(LinkId Link) {
  std::erase_if(this->Open,
                [&](const auto &Entry) { return Entry.second == Link; });
  std::erase_if(this->Connecting,
                [&](const auto &Entry) { return Entry.second.Link == Link; });
}

void PeerHub::received(LinkId Link, const std::string &Frame) {
  this->Figures.count("peer_bytes_received_total", Frame.size());
  Result<PeerEnvelope> Envelope = this->Codec.decode(Frame);
  if (!Envelope) {
    this->Figures.count("peer_frames_rejected_total");
    this->Links->close(Link);
    return;
  }
  if (Envelope->From == this->Members.self())
    return;
  this->Open.try_emplace(Envelope->From, Link);
  if (this->Handler)
    this->Handler(Envelope->From, Envelope->Message);
}

} // namespace sardinerill
