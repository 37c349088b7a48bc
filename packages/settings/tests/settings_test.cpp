#include "sardinerill/settings/settings.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;

namespace {

const std::string Good = R"(daemon:
  vm: entry-a1
  zone: kgl-a
callers: {address: 127.0.0.1, port: 8080}
operators: {address: 127.0.0.1, port: 8081}
peers: {address: 127.0.0.1, port: 8082, secretFile: secret}
platform: {address: 127.0.0.1, port: 9000}
)";

bool names(const SettingsOutcome &Outcome, int Line, const std::string &Part) {
  return std::any_of(Outcome.Faults.begin(), Outcome.Faults.end(),
                     [&](const SettingsFault &Fault) {
                       return Fault.Line == Line &&
                              Fault.Message.find(Part) != std::string::npos;
                     });
}

} // namespace

TEST_CASE("good settings are read with their defaults") {
  auto Outcome = parseSettings("s.yaml", Good);
  CHECK(Outcome.Faults.empty());
  CHECK(Outcome.Read.CallersPort == 8080);
  CHECK(Outcome.Read.PlatformTimeout == milliseconds(500));
}

TEST_CASE("every fault is named at once, each with its line") {
  auto Outcome = parseSettings("s.yaml", R"(daemon:
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
  CHECK(names(Outcome, 2, "daemon.vm"));
  CHECK(names(Outcome, 4, "daemon.colour"));
  CHECK(names(Outcome, 5, "IP address"));
  CHECK(names(Outcome, 5, "callers.port"));
  CHECK(names(Outcome, 7, "already used by \"operators\""));
  CHECK(names(Outcome, 8, "timeoutMs"));
  CHECK(names(Outcome, 9, "queue.limit"));
  CHECK(names(Outcome, 10, "kitchen"));
  CHECK(names(Outcome, 11, "debug, info, warning or error"));
}

TEST_CASE("a missing setting says what it is for") {
  auto Outcome = parseSettings("s.yaml", "daemon: {vm: a}\n");
  CHECK(names(Outcome, 1, "\"daemon.zone\" is missing"));
  CHECK(names(Outcome, 0, "\"peers.secretFile\" is missing"));
}

TEST_CASE("no text makes the reader throw") {
  CHECK(rc::check("any text gives settings or faults", [] {
    std::string Text = Good;
    const auto Cuts =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 250U));
    for (unsigned Place : Cuts)
      if (Place < Text.size())
        Text[Place] = *rc::gen::arbitrary<char>();
    (void)parseSettings("s.yaml", Text);
  }));
}
