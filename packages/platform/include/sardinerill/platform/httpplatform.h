#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/platform/iplatform.h"

#include <mutex>
#include <nlohmann/json.hpp>

/// \file
/// The platform over HTTP, by the cxxtools client.

namespace sardinerill {

/// Where the platform is and how long to wait for it.
struct HttpPlatformOptions {
  std::string Address;
  unsigned short Port = 0;
  milliseconds Timeout{500};
};

/// Speaks docs/PLATFORM.md. One connection a call: the client would otherwise
/// send a POST twice by itself or hand one call the reply of another. Safe
/// from any thread.
class HttpPlatform : public IPlatform {
public:
  explicit HttpPlatform(HttpPlatformOptions Options);

  Result<std::vector<Row>> read(const std::vector<RowKey> &Keys) override;
  Result<std::vector<Row>> scan(const std::string &Table) override;
  Result<CommitOutcome> commit(const Transaction &Change) override;
  Result<void> putObject(const std::string &Name,
                         const std::string &Bytes) override;
  Result<std::string> getObject(const std::string &Name) override;
  Result<std::vector<VmListEntry>> listVms() override;
  Result<void> rebootVm(const VmId &Vm, std::uint64_t ExpectedBoots) override;

private:
  Result<nlohmann::json> call(const std::string &Path,
                              const nlohmann::json &Message);

  HttpPlatformOptions Options;
  /// The last list and its tag: an unchanged one is not sent again.
  std::mutex ListGuard;
  std::string ListTag;
  std::vector<VmListEntry> LastList;
};

} // namespace sardinerill
