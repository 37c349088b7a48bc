#include "sardinerill/platform/platformcodec.h"

namespace sardinerill {

using nlohmann::json;

namespace {

/// Runs \p Decode and converts exceptions of the JSON library into BadRequest.
template <typename Function>
auto decodeOrError(Function Decode) -> Result<decltype(Decode())> {
  try {
    return Decode();
  } catch (const json::exception &Exception) {
    return makeError(ErrorKind::BadRequest, Exception.what());
  }
}

json encodeKey(const RowKey &Key) {
  return json{{"table", Key.Table}, {"key", Key.Key}};
}

RowKey decodeKey(const json &Message) {
  return RowKey{Message.at("table").get<std::string>(),
                Message.at("key").get<std::string>()};
}

} // namespace

json encodeKeys(const std::vector<RowKey> &Keys) {
  json List = json::array();
  for (const RowKey &Key : Keys)
    List.push_back(encodeKey(Key));
  return json{{"keys", List}};
}

Result<std::vector<RowKey>> decodeKeys(const json &Message) {
  return decodeOrError([&] {
    std::vector<RowKey> Keys;
    for (const json &Entry : Message.at("keys"))
      Keys.push_back(decodeKey(Entry));
    return Keys;
  });
}

json encodeRows(const std::vector<Row> &Rows) {
  json List = json::array();
  for (const Row &Entry : Rows) {
    json Item = encodeKey(Entry.Key);
    Item["revision"] = Entry.Rev;
    Item["value"] = Entry.Value;
    Item["writeId"] = Entry.WriteId;
    List.push_back(std::move(Item));
  }
  return json{{"rows", List}};
}

Result<std::vector<Row>> decodeRows(const json &Message) {
  return decodeOrError([&] {
    std::vector<Row> Rows;
    for (const json &Entry : Message.at("rows"))
      Rows.push_back(Row{decodeKey(Entry), Entry.at("revision").get<Revision>(),
                         Entry.at("value").get<std::string>(),
                         Entry.at("writeId").get<std::string>()});
    return Rows;
  });
}

json encodeTransaction(const Transaction &Txn) {
  json Conditions = json::array();
  for (const RowCondition &Required : Txn.Conditions) {
    json Item = encodeKey(Required.Key);
    Item["revision"] = Required.Expected;
    Conditions.push_back(std::move(Item));
  }
  json Writes = json::array();
  for (const RowWrite &Write : Txn.Writes) {
    json Item = encodeKey(Write.Key);
    Item["value"] = Write.Value ? json(*Write.Value) : json();
    Writes.push_back(std::move(Item));
  }
  return json{
      {"writeId", Txn.WriteId}, {"conditions", Conditions}, {"writes", Writes}};
}

Result<Transaction> decodeTransaction(const json &Message) {
  return decodeOrError([&] {
    Transaction Txn;
    Txn.WriteId = Message.at("writeId").get<std::string>();
    for (const json &Entry : Message.at("conditions"))
      Txn.Conditions.push_back(
          RowCondition{decodeKey(Entry), Entry.at("revision").get<Revision>()});
    for (const json &Entry : Message.at("writes")) {
      RowWrite Write{decodeKey(Entry), std::nullopt};
      if (!Entry.at("value").is_null())
        Write.Value = Entry.at("value").get<std::string>();
      Txn.Writes.push_back(std::move(Write));
    }
    return Txn;
  });
}

json encodeVms(const std::vector<VmListEntry> &Vms) {
  json List = json::array();
  for (const VmListEntry &Entry : Vms) {
    const bool Live = Entry.State == VmListState::Live;
    List.push_back(json{{"vm", Entry.Vm.str()},
                        {"state", Live ? "live" : "leaving"},
                        {"boots", Entry.BootCount}});
  }
  return json{{"vms", List}};
}

Result<std::vector<VmListEntry>> decodeVms(const json &Message) {
  return decodeOrError([&] {
    std::vector<VmListEntry> Vms;
    for (const json &Entry : Message.at("vms")) {
      const bool Live = Entry.at("state").get<std::string>() == "live";
      Vms.push_back(VmListEntry{VmId(Entry.at("vm").get<std::string>()),
                                Live ? VmListState::Live : VmListState::Leaving,
                                Entry.at("boots").get<std::uint64_t>()});
    }
    return Vms;
  });
}

Result<json> parseJson(const std::string &Text) {
  json Parsed = json::parse(Text, nullptr, false);
  if (Parsed.is_discarded())
    return makeError(ErrorKind::BadRequest, "the text is not valid JSON");
  return Parsed;
}

} // namespace sardinerill
