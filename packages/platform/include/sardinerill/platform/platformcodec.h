#pragma once

#include "sardinerill/platform/platformtypes.h"

#include <nlohmann/json.hpp>

/// \file
/// JSON form of the platform's messages (docs/PLATFORM.md), shared by the
/// HTTP adapter and the stand-in.

namespace sardinerill {

nlohmann::json encodeKeys(const std::vector<RowKey> &Keys);
Result<std::vector<RowKey>> decodeKeys(const nlohmann::json &Message);
nlohmann::json encodeRows(const std::vector<Row> &Rows);
Result<std::vector<Row>> decodeRows(const nlohmann::json &Message);
nlohmann::json encodeTransaction(const Transaction &Change);
Result<Transaction> decodeTransaction(const nlohmann::json &Message);
nlohmann::json encodeVms(const std::vector<VmListEntry> &Vms);
Result<std::vector<VmListEntry>> decodeVms(const nlohmann::json &Message);

/// \returns the parsed text, or BadRequest; never throws.
Result<nlohmann::json> parseJson(const std::string &Text);

} // namespace sardinerill
