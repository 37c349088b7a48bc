#include "operatorclient.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

namespace sardinerill {

using nlohmann::json;

namespace {

constexpr std::size_t ConnectTimeoutMs = 2000;
/// Longer than the daemon waits for a change to be in force at all daemons
/// before it responds with the list of pending ones.
constexpr std::size_t ResponseTimeoutMs = 30000;

} // namespace

HttpReply OperatorClient::call(const std::string &Method,
                               const std::string &Path,
                               const std::string &Query,
                               const std::string &Body) {
  HttpReply Reply;
  try {
    cxxtools::http::Client Client(this->Options.Address, this->Options.Port);
    cxxtools::http::Request Request(Path);
    Request.method(Method);
    Request.qparams(Query);
    Request.setHeader("Authorization", ("Bearer " + this->Options.Key).c_str());
    Request.setHeader("Content-Type", "application/json");
    Request.setHeader("Connection", "close");
    Request.body() << Body;
    Client.execute(Request, cxxtools::Milliseconds(ResponseTimeoutMs),
                   cxxtools::Milliseconds(ConnectTimeoutMs));
    Client.readBody();
    Reply.Status = Client.header().httpReturnCode();
    Reply.Text = Client.body();
    Reply.Body = json::parse(Reply.Text, nullptr, false);
  } catch (const std::exception &Exception) {
    Reply.Status = 0;
    Reply.Text = Exception.what();
  }
  return Reply;
}

HttpReply OperatorClient::get(const std::string &Path,
                              const std::string &Query) {
  return this->call("GET", Path, Query, "");
}

HttpReply OperatorClient::post(const std::string &Path, const json &Body) {
  return this->call("POST", Path, "", Body.dump());
}

} // namespace sardinerill
