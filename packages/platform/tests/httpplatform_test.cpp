#include "sardinerill/platform/httpplatform.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace sardinerill;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Answers each of \p Calls calls with status 200 and \p Body.
struct ScriptedPlatform {
  asio::io_context Io;
  tcp::acceptor Acceptor{Io, {asio::ip::make_address("127.0.0.1"), 0}};
  std::thread Server;

  ScriptedPlatform(unsigned Calls, const std::string &Body)
      : Server([this, Calls, Body] {
          for (unsigned Number = 0; Number < Calls; ++Number) {
            tcp::socket Socket = this->Acceptor.accept();
            boost::system::error_code Ignored;
            std::string Input;
            asio::read_until(Socket, asio::dynamic_buffer(Input), "}", Ignored);
            asio::write(Socket,
                        asio::buffer("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                     "Content-Length: " +
                                     std::to_string(Body.size()) + "\r\n\r\n" +
                                     Body),
                        Ignored);
          }
        }) {}
  ~ScriptedPlatform() { this->Server.join(); }
};

} // namespace

// The calls run on threads where an exception ends the process.
TEST_CASE("an answer of the platform that is no object is an error") {
  for (const char *Body : {"[]", "null", "7", "\"text\"", "[{\"rows\":[]}]"}) {
    CAPTURE(std::string(Body));
    ScriptedPlatform Service(6, Body);
    HttpPlatform Platform({.Address = "127.0.0.1",
                           .Port = Service.Acceptor.local_endpoint().port(),
                           .Timeout = milliseconds(5000)});
    const auto IsUnavailable = [](const auto &Outcome) {
      return !Outcome.has_value() &&
             Outcome.error().Kind == ErrorKind::PlatformUnavailable;
    };
    CHECK(IsUnavailable(Platform.read({RowKey{"t", "k"}})));
    CHECK(IsUnavailable(Platform.scan("t")));
    CHECK(
        IsUnavailable(Platform.commit({"id", {}, {{RowKey{"t", "k"}, "v"}}})));
    CHECK(IsUnavailable(Platform.getObject("name")));
    CHECK(IsUnavailable(Platform.listVms()));
    CHECK(IsUnavailable(Platform.putObject("name", "bytes")));
  }
}
