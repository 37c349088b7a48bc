#include "sardinerill/membership/peermessages.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace sardinerill {

using nlohmann::json;

namespace {

/// Length of the truncated HMAC-SHA-256 at the start of a frame.
constexpr std::size_t MacBytes = 16;
/// Maximum number of elements in a list of a received report or of a list of
/// reports.
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

const json &requireBoundedArray(const json &Value) {
  // 302 is the error id of nlohmann::json for a value of the wrong type.
  if (!Value.is_array() || Value.size() > MaxListLength)
    throw json::type_error::create(302,
                                   "expected an array of at most " +
                                       std::to_string(MaxListLength) +
                                       " elements",
                                   &Value);
  return Value;
}

/// Encodes an entry as an array: 0 id, 1 age in ms, 2 heartbeat, 3 fleet
/// version, 4 confirmation age in ms, 5 draining VMs with work, 6 loads (pool,
/// team and number of each in one flat array; null if omitted) and, only if the
/// endpoint is included, 7 zone, 8 address, 9 port.
json encodeEntry(const GossipEntry &Entry) {
  json Busy = json::array();
  for (const VmId &Vm : Entry.Report.DrainingVmsWithWork)
    Busy.push_back(Vm.str());
  json Loads = json::array();
  for (const TeamRunCount &Load : Entry.Report.Loads) {
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
            encodeAge(Entry.Report.ConfirmationAge),
            Busy,
            Loads};
  if (!Entry.Endpoint.Address.empty()) {
    Item.push_back(Entry.Endpoint.Zone.str());
    Item.push_back(Entry.Endpoint.Address);
    Item.push_back(Entry.Endpoint.Port);
  }
  return Item;
}

/// Decodes an array as described at encodeEntry().
GossipEntry decodeEntry(const json &Item) {
  GossipEntry Entry;
  Entry.Id = DaemonId(Item.at(0).get<std::string>());
  Entry.Age = decodeAge(Item.at(1));
  Entry.Report.Heartbeat = Item.at(2).get<std::uint64_t>();
  Entry.Report.Version = Item.at(3).get<FleetVersion>();
  Entry.Report.ConfirmationAge = decodeAge(Item.at(4));
  for (const json &Vm : requireBoundedArray(Item.at(5)))
    Entry.Report.DrainingVmsWithWork.emplace_back(Vm.get<std::string>());
  Entry.HasLoads = !Item.at(6).is_null();
  static const json NoLoads = json::array();
  const json &Loads =
      Entry.HasLoads ? requireBoundedArray(Item.at(6)) : NoLoads;
  for (std::size_t Index = 0; Index + 2 < Loads.size(); Index += 3)
    Entry.Report.Loads.push_back(
        TeamRunCount{PoolId(Loads[Index].get<std::string>()),
                     TeamId(Loads[Index + 1].get<std::string>()),
                     Loads[Index + 2].get<unsigned>()});
  if (Item.size() > 7)
    Entry.Endpoint = PeerEndpoint{ZoneId(Item.at(7).get<std::string>()),
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
  for (const json &Item : requireBoundedArray(List))
    Entries.push_back(decodeEntry(Item));
  return Entries;
}

json encodeGossip(std::uint64_t Nonce, FleetVersion NewestVersion,
                  const std::vector<GossipEntry> &Entries,
                  const LastSeenAges &LastSeen) {
  return json{Nonce, NewestVersion, encodeEntries(Entries),
              LastSeen.MemberIdsHash, json::binary(LastSeen.Ages)};
}

LastSeenAges decodeLastSeen(const json &Fields) {
  LastSeenAges LastSeen;
  LastSeen.MemberIdsHash = Fields.at(3).get<std::uint64_t>();
  LastSeen.Ages = Fields.at(4).get_binary();
  return LastSeen;
}

/// Encodes the fields of each message type as an array.
struct EncodeFields {
  json operator()(const Gossip &Message) const {
    return encodeGossip(Message.Nonce, Message.NewestVersion, Message.Entries,
                        Message.LastSeen);
  }
  json operator()(const GossipReply &Message) const {
    return encodeGossip(Message.Nonce, Message.NewestVersion, Message.Entries,
                        Message.LastSeen);
  }
  json operator()(const VersionHint &Message) const {
    return json::array({Message.Version});
  }
  json operator()(const VersionAck &Message) const {
    return json::array({Message.Version});
  }
  json operator()(const LoanRequestMessage &Message) const {
    return json{Message.Request.Number, Message.Request.Resource.str(),
                Message.Request.Units, Message.Request.MayWait};
  }
  json operator()(const LoanReply &Message) const {
    return json{
        Message.RequestNumber,         Message.Resource.str(),
        Message.Offer.Id.Lender.str(), Message.Offer.Id.Number,
        Message.Offer.Units,           Message.Offer.StartWindow.count(),
        Message.Offer.LimitVersion,    Message.Offer.MaxRun.count()};
  }
  json operator()(const LoanReturn &Message) const {
    return json{Message.Resource.str(), Message.Number};
  }
  json operator()(const FleetRequest &Message) const {
    return json::array({Message.KnownVersion});
  }
  json operator()(const FleetReply &Message) const {
    return json{Message.Version, Message.Document};
  }
  json operator()(const ReportPush &Message) const {
    return json::array({encodeEntry(Message.Entry)});
  }
};

using DecodeFields = PeerMessage (*)(const json &);

/// One decoder per alternative of PeerMessage, in the same order: the index is
/// the message type in the frame.
constexpr std::array<DecodeFields, std::variant_size_v<PeerMessage>> Decoders{
    [](const json &Fields) -> PeerMessage {
      return Gossip{Fields.at(0).get<std::uint64_t>(),
                    Fields.at(1).get<FleetVersion>(),
                    decodeEntries(Fields.at(2)), decodeLastSeen(Fields)};
    },
    [](const json &Fields) -> PeerMessage {
      return GossipReply{Fields.at(0).get<std::uint64_t>(),
                         Fields.at(1).get<FleetVersion>(),
                         decodeEntries(Fields.at(2)), decodeLastSeen(Fields)};
    },
    [](const json &Fields) -> PeerMessage {
      return VersionHint{Fields.at(0).get<FleetVersion>()};
    },
    [](const json &Fields) -> PeerMessage {
      return VersionAck{Fields.at(0).get<FleetVersion>()};
    },
    [](const json &Fields) -> PeerMessage {
      return LoanRequestMessage{
          LoanRequest{Fields.at(0).get<std::uint64_t>(),
                      ResourceId(Fields.at(1).get<std::string>()),
                      Fields.at(2).get<unsigned>(), Fields.at(3).get<bool>()}};
    },
    [](const json &Fields) -> PeerMessage {
      const LoanId Id{DaemonId(Fields.at(2).get<std::string>()),
                      Fields.at(3).get<LoanNumber>()};
      return LoanReply{Fields.at(0).get<std::uint64_t>(),
                       ResourceId(Fields.at(1).get<std::string>()),
                       LoanOffer{Id, Fields.at(4).get<unsigned>(),
                                 Duration(Fields.at(5).get<Duration::rep>()),
                                 Fields.at(6).get<std::uint64_t>(),
                                 Duration(Fields.at(7).get<Duration::rep>())}};
    },
    [](const json &Fields) -> PeerMessage {
      return LoanReturn{ResourceId(Fields.at(0).get<std::string>()),
                        Fields.at(1).get<LoanNumber>()};
    },
    [](const json &Fields) -> PeerMessage {
      return FleetRequest{Fields.at(0).get<FleetVersion>()};
    },
    [](const json &Fields) -> PeerMessage {
      return FleetReply{Fields.at(0).get<FleetVersion>(), Fields.at(1)};
    },
    [](const json &Fields) -> PeerMessage {
      return ReportPush{decodeEntry(Fields.at(0))};
    },
};

} // namespace

DaemonId makeDaemonId(const DaemonIdentity &Identity) {
  return DaemonId(Identity.Vm + "#" + std::to_string(Identity.Incarnation));
}

DaemonIdentity parseDaemonId(const DaemonId &Id) {
  const std::string &Text = Id.str();
  const std::size_t Separator = Text.rfind('#');
  if (Separator == std::string::npos)
    return DaemonIdentity{Text, 0};
  return DaemonIdentity{
      Text.substr(0, Separator),
      std::strtoull(Text.c_str() + Separator + 1, nullptr, 10)};
}

std::string PeerCodec::computeMac(const std::string &Payload) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), this->Secret.data(), static_cast<int>(this->Secret.size()),
       reinterpret_cast<const unsigned char *>(Payload.data()), Payload.size(),
       Mac.data(), &Length);
  return std::string(Mac.begin(), Mac.begin() + MacBytes);
}

std::string PeerCodec::encode(const PeerEnvelope &Envelope) const {
  const json Message{Envelope.From.str(), Envelope.Message.index(),
                     std::visit(EncodeFields{}, Envelope.Message)};
  std::string Payload;
  json::to_cbor(Message, Payload);
  return this->computeMac(Payload) + Payload;
}

Result<PeerEnvelope> PeerCodec::decode(const std::string &Frame) const {
  if (Frame.size() < MacBytes)
    return makeError(ErrorKind::BadRequest,
                     "the frame of " + std::to_string(Frame.size()) +
                         " bytes is shorter than its authentication code of " +
                         std::to_string(MacBytes) + " bytes");
  const std::string Payload = Frame.substr(MacBytes);
  const std::string Mac = this->computeMac(Payload);
  if (CRYPTO_memcmp(Mac.data(), Frame.data(), MacBytes) != 0)
    return makeError(ErrorKind::NotPermitted,
                     "the authentication code of the frame is wrong");
  try {
    const json Message = json::from_cbor(Payload);
    const auto Type = Message.at(1).get<std::size_t>();
    if (Type >= Decoders.size())
      return makeError(ErrorKind::BadRequest,
                       "unknown message type " + std::to_string(Type));
    return PeerEnvelope{DaemonId(Message.at(0).get<std::string>()),
                        Decoders.at(Type)(Message.at(2))};
  } catch (const json::exception &Exception) {
    return makeError(ErrorKind::BadRequest, Exception.what());
  }
}

} // namespace sardinerill
