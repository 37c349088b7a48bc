#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/platform/iplatform.h"

#include <mutex>
#include <nlohmann/json.hpp>

/// \file
/// Implementation of IPlatform over HTTP with the cxxtools client.

namespace sardinerill {

/// Address of the platform and the timeout of its calls.
struct HttpPlatformOptions {
  std::string Address;
  unsigned short Port = 0;
  /// Applies to connecting and to the request separately.
  milliseconds Timeout{500};
};

/// Implements the protocol of docs/PLATFORM.md. Opens a new connection for each
/// call: on a reused connection the cxxtools client may resend a POST on its
/// own or return the response to another call. Thread-safe.
class HttpPlatform : public IPlatform {
public:
  explicit HttpPlatform(HttpPlatformOptions Options);

  Result<std::vector<Row>> read(const std::vector<RowKey> &Keys) override;
  Result<std::vector<Row>> scan(const std::string &Table) override;
  Result<CommitOutcome> commit(const Transaction &Txn) override;
  Result<void> putObject(const std::string &Name,
                         const std::string &Bytes) override;
  Result<std::string> getObject(const std::string &Name) override;
  Result<std::vector<VmListEntry>> listVms() override;
  Result<void> rebootVm(const VmId &Vm,
                        std::uint64_t ExpectedBootCount) override;

private:
  /// Sends \p Message to \p Path as a POST request.
  /// \returns the JSON of the response.
  Result<nlohmann::json> call(const std::string &Path,
                              const nlohmann::json &Message);

  HttpPlatformOptions Options;
  /// Guards the last VM list and its tag. Each request carries the tag, and
  /// the platform omits a list that has not changed since.
  std::mutex ListMutex;
  std::string ListTag;
  std::vector<VmListEntry> LastList;
};

} // namespace sardinerill
