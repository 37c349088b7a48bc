#include "commands.h"

#include <doctest/doctest.h>

using namespace sardinerill;

// A command sent to another port may change another fleet.
TEST_CASE("a server with a malformed port is refused") {
  for (const char *Text :
       {"", "host", "host:", ":80", "host:0", "host:80x", "host:x80",
        "host:65536", "host:-1", "host:+80", "host: 80", "host:8 0",
        "host:18446744073709551696", "host:80\n"}) {
    CAPTURE(std::string(Text));
    OperatorClientOptions Options;
    CHECK_FALSE(parseServer(Text, Options));
  }
  OperatorClientOptions Options;
  REQUIRE(parseServer("10.0.0.1:65535", Options));
  CHECK(Options.Address == "10.0.0.1");
  CHECK(Options.Port == 65535);
}

// A script that reads a table as JSON fails later and elsewhere.
TEST_CASE("an unknown output format is refused") {
  CommandLineOptions Options;
  for (const char *Text : {"", "jsno", "JSON", "yaml", "json "}) {
    CAPTURE(std::string(Text));
    CHECK_FALSE(parseOutput(Text, Options));
  }
  REQUIRE(parseOutput("json", Options));
  CHECK(Options.AsJson);
  REQUIRE(parseOutput("table", Options));
  CHECK_FALSE(Options.AsJson);
}
