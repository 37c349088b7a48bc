#include "sardinerill/platform/httpplatform.h"

#include "sardinerill/platform/platformcodec.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

namespace sardinerill {

using nlohmann::json;

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNotFound = 404;

tl::unexpected<Error> malformed(const std::string &What) {
  return makeError(ErrorKind::PlatformUnavailable,
                   "malformed answer of the platform: " + What);
}

} // namespace

HttpPlatform::HttpPlatform(HttpPlatformOptions Options)
    : Options(std::move(Options)) {}

Result<json> HttpPlatform::call(const std::string &Path, const json &Message) {
  try {
    cxxtools::http::Client Client(this->Options.Address, this->Options.Port);
    cxxtools::http::Request Request(Path);
    Request.method("POST");
    Request.setHeader("Connection", "close");
    Request.setHeader("Content-Type", "application/json");
    Request.body() << Message.dump();
    const auto Wait = static_cast<std::size_t>(this->Options.Timeout.count());
    Client.execute(Request, cxxtools::Milliseconds(Wait),
                   cxxtools::Milliseconds(Wait));
    Client.readBody();
    if (Client.header().httpReturnCode() == HttpNotFound)
      return makeError(ErrorKind::NotFound, Path);
    if (Client.header().httpReturnCode() != HttpOk)
      return makeError(ErrorKind::PlatformUnavailable,
                       "the platform answered " +
                           std::to_string(Client.header().httpReturnCode()));
    Result<json> Parsed = parseJson(Client.body());
    if (!Parsed)
      return malformed("not JSON");
    return Parsed;
  } catch (const std::exception &Fault) {
    return makeError(ErrorKind::PlatformUnavailable, Fault.what());
  }
}

Result<std::vector<Row>> HttpPlatform::read(const std::vector<RowKey> &Keys) {
  Result<json> Answer = this->call("/v1/table/read", encodeKeys(Keys));
  if (!Answer)
    return tl::unexpected(Answer.error());
  Result<std::vector<Row>> Rows = decodeRows(*Answer);
  if (!Rows || Rows->size() != Keys.size())
    return malformed("rows");
  return Rows;
}

Result<std::vector<Row>> HttpPlatform::scan(const std::string &Table) {
  Result<json> Answer = this->call("/v1/table/scan", json{{"table", Table}});
  if (!Answer)
    return tl::unexpected(Answer.error());
  Result<std::vector<Row>> Rows = decodeRows(*Answer);
  if (!Rows)
    return malformed("rows");
  return Rows;
}

Result<CommitOutcome> HttpPlatform::commit(const Transaction &Change) {
  Result<json> Answer =
      this->call("/v1/table/commit", encodeTransaction(Change));
  if (!Answer)
    return tl::unexpected(Answer.error());
  const json Committed = Answer->value("committed", json());
  if (!Committed.is_boolean())
    return malformed("commit");
  return Committed.get<bool>() ? CommitOutcome::Committed
                               : CommitOutcome::Conflict;
}

Result<void> HttpPlatform::putObject(const std::string &Name,
                                     const std::string &Bytes) {
  Result<json> Answer =
      this->call("/v1/objects/put", json{{"name", Name}, {"bytes", Bytes}});
  if (!Answer)
    return tl::unexpected(Answer.error());
  return {};
}

Result<std::string> HttpPlatform::getObject(const std::string &Name) {
  Result<json> Answer = this->call("/v1/objects/get", json{{"name", Name}});
  if (!Answer)
    return tl::unexpected(Answer.error());
  const json Bytes = Answer->value("bytes", json());
  if (!Bytes.is_string())
    return malformed("object");
  return Bytes.get<std::string>();
}

Result<std::vector<VmListEntry>> HttpPlatform::listVms() {
  std::string Tag;
  {
    std::scoped_lock Lock(this->ListGuard);
    Tag = this->ListTag;
  }
  Result<json> Answer = this->call("/v1/vms/list", json{{"tag", Tag}});
  if (!Answer)
    return tl::unexpected(Answer.error());
  std::scoped_lock Lock(this->ListGuard);
  const json NewTag = Answer->value("tag", json());
  if (!NewTag.is_string())
    return malformed("VM list");
  if (!Answer->contains("vms") && NewTag == Tag && Tag == this->ListTag)
    return this->LastList;
  Result<std::vector<VmListEntry>> Vms = decodeVms(*Answer);
  if (!Vms)
    return malformed("VM list");
  this->ListTag = NewTag.get<std::string>();
  this->LastList = *Vms;
  return Vms;
}

Result<void> HttpPlatform::rebootVm(const VmId &Vm,
                                    std::uint64_t ExpectedBoots) {
  Result<json> Answer =
      this->call("/v1/vms/reboot",
                 json{{"vm", Vm.str()}, {"expectedBoots", ExpectedBoots}});
  if (!Answer)
    return tl::unexpected(Answer.error());
  return {};
}

} // namespace sardinerill
