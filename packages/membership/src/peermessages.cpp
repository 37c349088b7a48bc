#include "sardinerill/membership/peermessages.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace sardinerill {

using nlohmann::json;

namespace {

/// Length of the truncated HMAC-SHA-256 at the start of a frame.
constexpr std::size_t CodeBytes = 16;
constexpr std::size_t MaxListLength = 4096;
/// Encodes an age that is unknown or above MaxAgeMs.
constexpr std::uint64_t UnknownAgeMs = UINT32_MAX;
constexpr std::uint64_t MaxAgeMs = 7ULL * 24 * 3600 * 1000;

std::uint64_t encodeAge(Duration Age) {
  const auto Ms = std::chrono::duration_cast<milliseconds>(Age).count();
  if (Ms < 0)
    return 0;
  return std::uint64_t(Ms) > MaxAgeMs ? UnknownAgeMs : std::uint64_t(Ms);
}

Duration decodeAge(const json &Value) {
  const auto Ms = Value.get<std::uint64_t>();
  if (Ms > MaxAgeMs)
    return Duration::max();
  // Rounded up: an age must never be decoded as younger than it is.
  return milliseconds(Ms + 1);
}

const json &checkedList(const json &Value) {
  // 302 is the library's id for a value of the wrong type.
  if (!Value.is_array() || Value.size() > MaxListLength)
    throw json::type_error::create(302, "a short list is expected", &Value);
  return Value;
}

json encodeEntry(const GossipEntry &Entry) {
  json Busy = json::array();
  for (const VmId &Vm : Entry.Report.BusyDraining)
    Busy.push_back(Vm.str());
  json Loads = json::array();
  for (const TeamRunning &Load : Entry.Report.Loads) {
    Loads.push_back(Load.Pool.str());
    Loads.push_back(Load.Team.str());
    Loads.push_back(Load.Running);
  }
  if (!Entry.HasLoads)
    Loads = nullptr;
  json Item{Entry.Id.str(),
            encodeAge(Entry.Age),
            Entry.Report.Heartbeat,
            Entry.Report.Version,
            encodeAge(Entry.Report.EvidenceAge),
            Busy,
            Loads};
  if (!Entry.Where.Address.empty()) {
    Item.push_back(Entry.Where.Zone.str());
    Item.push_back(Entry.Where.Address);
    Item.push_back(Entry.Where.Port);
  }
  return Item;
}

GossipEntry decodeEntry(const json &Item) {
  GossipEntry Entry;
  Entry.Id = DaemonId(Item.at(0).get<std::string>());
  Entry.Age = decodeAge(Item.at(1));
  Entry.Report.Heartbeat = Item.at(2).get<std::uint64_t>();
  Entry.Report.Version = Item.at(3).get<FleetVersion>();
  Entry.Report.EvidenceAge = decodeAge(Item.at(4));
  for (const json &Vm : checkedList(Item.at(5)))
    Entry.Report.BusyDraining.emplace_back(Vm.get<std::string>());
  Entry.HasLoads = !Item.at(6).is_null();
  static const json NoLoads = json::array();
  const json &Loads = Entry.HasLoads ? checkedList(Item.at(6)) : NoLoads;
  for (std::size_t Index = 0; Index + 2 < Loads.size(); Index += 3)
    Entry.Report.Loads.push_back(
        TeamRunning{PoolId(Loads[Index].get<std::string>()),
                    TeamId(Loads[Index + 1].get<std::string>()),
                    Loads[Index + 2].get<unsigned>()});
  if (Item.size() > 7)
    Entry.Where = Contact{ZoneId(Item.at(7).get<std::string>()),
                          Item.at(8).get<std::string>(),
                          Item.at(9).get<unsigned short>()};
  return Entry;
}

json encodeEntries(const std::vector<GossipEntry> &Entries) {
  json List = json::array();
  for (const GossipEntry &Entry : Entries)
    List.push_back(encodeEntry(Entry));
  return List;
}

std::vector<GossipEntry> decodeEntries(const json &List) {
  std::vector<GossipEntry> Entries;
  for (const json &Item : checkedList(List))
    Entries.push_back(decodeEntry(Item));
  return Entries;
}

json encodeGossip(std::uint64_t Nonce, FleetVersion Newest,
                  const std::vector<GossipEntry> &Entries,
                  const HeardAges &Heard) {
  return json{Nonce, Newest, encodeEntries(Entries), Heard.RosterHash,
              json::binary(Heard.Ages)};
}

HeardAges decodeHeard(const json &Fields) {
  HeardAges Heard;
  Heard.RosterHash = Fields.at(3).get<std::uint64_t>();
  Heard.Ages = Fields.at(4).get_binary();
  return Heard;
}

/// Encodes the fields of each message type as an array.
struct EncodeFields {
  json operator()(const Gossip &M) const {
    return encodeGossip(M.Nonce, M.Newest, M.Entries, M.Heard);
  }
  json operator()(const GossipReply &M) const {
    return encodeGossip(M.Nonce, M.Newest, M.Entries, M.Heard);
  }
  json operator()(const VersionHint &M) const {
    return json::array({M.Version});
  }
  json operator()(const VersionAck &M) const {
    return json::array({M.Version});
  }
  json operator()(const LoanAsk &M) const {
    return json{M.Request.Ask, M.Request.Resource.str(), M.Request.Units,
                M.Request.MayWait};
  }
  json operator()(const LoanReply &M) const {
    return json{M.Ask,
                M.Resource.str(),
                M.Offer.Id.Lender.str(),
                M.Offer.Id.Number,
                M.Offer.Units,
                M.Offer.Window.count(),
                M.Offer.LimitVersion,
                M.Offer.MaxRun.count()};
  }
  json operator()(const LoanReturn &M) const {
    return json{M.Resource.str(), M.Number};
  }
  json operator()(const FleetAsk &M) const { return json::array({M.Known}); }
  json operator()(const FleetReply &M) const {
    return json{M.Version, M.Document};
  }
  json operator()(const ReportPush &M) const {
    return json::array({encodeEntry(M.Entry)});
  }
};

using DecodeFields = PeerMessage (*)(const json &);

/// One decoder per alternative of PeerMessage, in the same order: the index is
/// the message type in the frame.
constexpr std::array<DecodeFields, std::variant_size_v<PeerMessage>> Decoders{
    [](const json &F) -> PeerMessage {
      return Gossip{F.at(0).get<std::uint64_t>(), F.at(1).get<FleetVersion>(),
                    decodeEntries(F.at(2)), decodeHeard(F)};
    },
    [](const json &F) -> PeerMessage {
      return GossipReply{F.at(0).get<std::uint64_t>(),
                         F.at(1).get<FleetVersion>(), decodeEntries(F.at(2)),
                         decodeHeard(F)};
    },
    [](const json &F) -> PeerMessage {
      return VersionHint{F.at(0).get<FleetVersion>()};
    },
    [](const json &F) -> PeerMessage {
      return VersionAck{F.at(0).get<FleetVersion>()};
    },
    [](const json &F) -> PeerMessage {
      return LoanAsk{LoanRequest{F.at(0).get<std::uint64_t>(),
                                 ResourceId(F.at(1).get<std::string>()),
                                 F.at(2).get<unsigned>(), F.at(3).get<bool>()}};
    },
    [](const json &F) -> PeerMessage {
      const LoanId Id{DaemonId(F.at(2).get<std::string>()),
                      F.at(3).get<LoanNumber>()};
      return LoanReply{F.at(0).get<std::uint64_t>(),
                       ResourceId(F.at(1).get<std::string>()),
                       LoanOffer{Id, F.at(4).get<unsigned>(),
                                 Duration(F.at(5).get<Duration::rep>()),
                                 F.at(6).get<std::uint64_t>(),
                                 Duration(F.at(7).get<Duration::rep>())}};
    },
    [](const json &F) -> PeerMessage {
      return LoanReturn{ResourceId(F.at(0).get<std::string>()),
                        F.at(1).get<LoanNumber>()};
    },
    [](const json &F) -> PeerMessage {
      return FleetAsk{F.at(0).get<FleetVersion>()};
    },
    [](const json &F) -> PeerMessage {
      return FleetReply{F.at(0).get<FleetVersion>(), F.at(1)};
    },
    [](const json &F) -> PeerMessage {
      return ReportPush{decodeEntry(F.at(0))};
    },
};

} // namespace

DaemonId daemonIdOf(const DaemonName &Name) {
  return DaemonId(Name.Vm + "#" + std::to_string(Name.Incarnation));
}

DaemonName daemonNameOf(const DaemonId &Id) {
  const std::string &Text = Id.str();
  const std::size_t Mark = Text.rfind('#');
  if (Mark == std::string::npos)
    return DaemonName{Text, 0};
  return DaemonName{Text.substr(0, Mark),
                    std::strtoull(Text.c_str() + Mark + 1, nullptr, 10)};
}

std::string PeerCodec::sign(const std::string &Payload) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Code{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), this->Secret.data(), static_cast<int>(this->Secret.size()),
       reinterpret_cast<const unsigned char *>(Payload.data()), Payload.size(),
       Code.data(), &Length);
  return std::string(Code.begin(), Code.begin() + CodeBytes);
}

std::string PeerCodec::encode(const PeerEnvelope &Envelope) const {
  const json Message{Envelope.From.str(), Envelope.Message.index(),
                     std::visit(EncodeFields{}, Envelope.Message)};
  std::string Payload;
  json::to_cbor(Message, Payload);
  return this->sign(Payload) + Payload;
}

Result<PeerEnvelope> PeerCodec::decode(const std::string &Frame) const {
  if (Frame.size() < CodeBytes)
    return makeError(ErrorKind::BadRequest, "the frame is too short");
  const std::string Payload = Frame.substr(CodeBytes);
  const std::string Code = this->sign(Payload);
  if (CRYPTO_memcmp(Code.data(), Frame.data(), CodeBytes) != 0)
    return makeError(ErrorKind::NotPermitted, "the frame is not from a peer");
  try {
    const json Message = json::from_cbor(Payload);
    const auto Kind = Message.at(1).get<std::size_t>();
    if (Kind >= Decoders.size())
      return makeError(ErrorKind::BadRequest, "the message kind is unknown");
    return PeerEnvelope{DaemonId(Message.at(0).get<std::string>()),
                        Decoders.at(Kind)(Message.at(2))};
  } catch (const json::exception &Fault) {
    return makeError(ErrorKind::BadRequest, Fault.what());
  }
}

} // namespace sardinerill
