#pragma once

#include "sardinerill/platform/platformtypes.h"

#include <nlohmann/json.hpp>

/// \file
/// JSON encoding of the platform's messages (docs/PLATFORM.md), used by
/// HttpPlatform and by the platform stand-in server.

namespace sardinerill {

nlohmann::json encodeKeys(const std::vector<RowKey> &Keys);
Result<std::vector<RowKey>> decodeKeys(const nlohmann::json &Message);
nlohmann::json encodeRows(const std::vector<Row> &Rows);
Result<std::vector<Row>> decodeRows(const nlohmann::json &Message);
nlohmann::json encodeTransaction(const Transaction &Txn);
Result<Transaction> decodeTransaction(const nlohmann::json &Message);
nlohmann::json encodeVms(const std::vector<VmListEntry> &Vms);
Result<std::vector<VmListEntry>> decodeVms(const nlohmann::json &Message);

/// \returns the parsed text, or BadRequest if it is not valid JSON; never
/// throws.
Result<nlohmann::json> parseJson(const std::string &Text);

} // namespace sardinerill
