#include "sardinerill/settings/settings.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;

namespace {

const std::string ValidSettings = R"(daemon:
  vm: entry-a1
  zone: kgl-a
callers: {address: 127.0.0.1, port: 8080}
operators: {address: 127.0.0.1, port: 8081}
peers: {address: 127.0.0.1, port: 8082, secretFile: secret}
platform: {address: 127.0.0.1, port: 9000}
)";

bool hasError(const SettingsResult &Parsed, int Line, const std::string &Text) {
  return std::any_of(Parsed.Errors.begin(), Parsed.Errors.end(),
                     [&](const SettingsError &Found) {
                       return Found.Line == Line &&
                              Found.Message.find(Text) != std::string::npos;
                     });
}

} // namespace

TEST_CASE(
    "valid settings are parsed, and a missing optional one gets its default") {
  auto Parsed = parseSettings("s.yaml", ValidSettings);
  CHECK(Parsed.Errors.empty());
  CHECK(Parsed.Loaded.CallersPort == 8080);
  CHECK(Parsed.Loaded.PlatformTimeout == milliseconds(500));
}

TEST_CASE("all errors are reported in one pass, each with its line") {
  auto Parsed = parseSettings("s.yaml", R"(daemon:
  vm: entry a1
  zone: kgl-a
  colour: blue
callers: {address: localhost, port: 70000}
operators: {address: 127.0.0.1, port: 8082}
peers: {address: 127.0.0.1, port: 8082, secretFile: secret}
platform: {address: 127.0.0.1, port: 9000, timeoutMs: 1s}
queue: {limit: 0}
kitchen: {}
log: {level: loud}
)");
  CHECK(hasError(Parsed, 2, "daemon.vm"));
  CHECK(hasError(Parsed, 4, "daemon.colour"));
  CHECK(hasError(Parsed, 5, "IP address"));
  CHECK(hasError(Parsed, 5, "callers.port"));
  CHECK(hasError(Parsed, 7, "already used by \"operators\""));
  CHECK(hasError(Parsed, 8, "timeoutMs"));
  CHECK(hasError(Parsed, 9, "queue.limit"));
  CHECK(hasError(Parsed, 10, "kitchen"));
  CHECK(hasError(Parsed, 11, "debug, info, warning or error"));
}

TEST_CASE("a missing required setting is reported") {
  auto Parsed = parseSettings("s.yaml", "daemon: {vm: a}\n");
  CHECK(hasError(Parsed, 1, "\"daemon.zone\" is missing"));
  CHECK(hasError(Parsed, 0, "\"peers.secretFile\" is missing"));
}

TEST_CASE("parsing corrupted text does not throw") {
  CHECK(rc::check("parsing does not throw", [] {
    std::string Text = ValidSettings;
    const auto Positions =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 250U));
    for (unsigned Position : Positions)
      if (Position < Text.size())
        Text[Position] = *rc::gen::arbitrary<char>();
    (void)parseSettings("s.yaml", Text);
  }));
}
