#include "sardinerill/platform/httpplatform.h"

#include "sardinerill/platform/platformcodec.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

namespace sardinerill {

using nlohmann::json;

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNotFound = 404;

tl::unexpected<Error> malformedResponse(const std::string &Detail) {
  return makeError(ErrorKind::PlatformUnavailable,
                   "malformed response from the platform: " + Detail);
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
    const auto TimeoutMs =
        static_cast<std::size_t>(this->Options.Timeout.count());
    Client.execute(Request, cxxtools::Milliseconds(TimeoutMs),
                   cxxtools::Milliseconds(TimeoutMs));
    Client.readBody();
    if (Client.header().httpReturnCode() == HttpNotFound)
      return makeError(ErrorKind::NotFound, Path);
    if (Client.header().httpReturnCode() != HttpOk)
      return makeError(ErrorKind::PlatformUnavailable,
                       "the platform returned HTTP status " +
                           std::to_string(Client.header().httpReturnCode()));
    Result<json> Parsed = parseJson(Client.body());
    if (!Parsed)
      return malformedResponse("invalid JSON");
    if (!Parsed->is_object())
      return malformedResponse("expected a JSON object, got " +
                               std::string(Parsed->type_name()));
    return Parsed;
  } catch (const std::exception &Exception) {
    return makeError(ErrorKind::PlatformUnavailable, Exception.what());
  }
}

Result<std::vector<Row>> HttpPlatform::read(const std::vector<RowKey> &Keys) {
  Result<json> Response = this->call("/v1/table/read", encodeKeys(Keys));
  if (!Response)
    return tl::unexpected(Response.error());
  Result<std::vector<Row>> Rows = decodeRows(*Response);
  if (!Rows || Rows->size() != Keys.size())
    return malformedResponse("expected " + std::to_string(Keys.size()) +
                             " valid rows");
  return Rows;
}

Result<std::vector<Row>> HttpPlatform::scan(const std::string &Table) {
  Result<json> Response = this->call("/v1/table/scan", json{{"table", Table}});
  if (!Response)
    return tl::unexpected(Response.error());
  Result<std::vector<Row>> Rows = decodeRows(*Response);
  if (!Rows)
    return malformedResponse("invalid rows");
  return Rows;
}

Result<CommitOutcome> HttpPlatform::commit(const Transaction &Txn) {
  Result<json> Response =
      this->call("/v1/table/commit", encodeTransaction(Txn));
  if (!Response)
    return tl::unexpected(Response.error());
  const json Committed = Response->value("committed", json());
  if (!Committed.is_boolean())
    return malformedResponse("no outcome of the commit");
  return Committed.get<bool>() ? CommitOutcome::Committed
                               : CommitOutcome::Conflict;
}

Result<void> HttpPlatform::putObject(const std::string &Name,
                                     const std::string &Bytes) {
  Result<json> Response =
      this->call("/v1/objects/put", json{{"name", Name}, {"bytes", Bytes}});
  if (!Response)
    return tl::unexpected(Response.error());
  return {};
}

Result<std::string> HttpPlatform::getObject(const std::string &Name) {
  Result<json> Response = this->call("/v1/objects/get", json{{"name", Name}});
  if (!Response)
    return tl::unexpected(Response.error());
  const json Bytes = Response->value("bytes", json());
  if (!Bytes.is_string())
    return malformedResponse("no object content");
  return Bytes.get<std::string>();
}

Result<std::vector<VmListEntry>> HttpPlatform::listVms() {
  std::string Tag;
  {
    std::scoped_lock Lock(this->ListMutex);
    Tag = this->ListTag;
  }
  Result<json> Response = this->call("/v1/vms/list", json{{"tag", Tag}});
  if (!Response)
    return tl::unexpected(Response.error());
  std::scoped_lock Lock(this->ListMutex);
  const json NewTag = Response->value("tag", json());
  if (!NewTag.is_string())
    return malformedResponse("VM list without a tag");
  if (!Response->contains("vms") && NewTag == Tag && Tag == this->ListTag)
    return this->LastList;
  Result<std::vector<VmListEntry>> Vms = decodeVms(*Response);
  if (!Vms)
    return malformedResponse("invalid VM list");
  this->ListTag = NewTag.get<std::string>();
  this->LastList = *Vms;
  return Vms;
}

Result<void> HttpPlatform::rebootVm(const VmId &Vm,
                                    std::uint64_t ExpectedBootCount) {
  Result<json> Response =
      this->call("/v1/vms/reboot",
                 json{{"vm", Vm.str()}, {"expectedBoots", ExpectedBootCount}});
  if (!Response)
    return tl::unexpected(Response.error());
  return {};
}

} // namespace sardinerill
