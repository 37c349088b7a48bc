#include "startupconfiguration.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill::site;

TEST_CASE("a restarted daemon does not use a configuration older than that of "
          "its peers") {
  // Version 7 withdrew a key; the table answers the restarted process with the
  // state of three seconds before.
  StartupConfiguration Configuration;
  Configuration.recordRead(5);
  CHECK_FALSE(Configuration.mayServe()); // No peer was asked yet.
  Configuration.recordPeer(0);           // A peer that has just started, too.
  Configuration.recordPeer(7);
  Configuration.endQuestions();
  CHECK_FALSE(Configuration.mayServe());
  Configuration.recordRead(6);
  CHECK_FALSE(Configuration.mayServe());
  Configuration.recordRead(7);
  CHECK(Configuration.mayServe());
}

TEST_CASE("a restarted daemon that reaches no peer uses what it has read") {
  StartupConfiguration Configuration;
  Configuration.endQuestions();
  CHECK_FALSE(Configuration.mayServe());
  Configuration.recordRead(5);
  CHECK(Configuration.mayServe());
}

TEST_CASE("property: an older configuration than a peer's is used only after "
          "giving up") {
  CHECK(rc::check([] {
    StartupConfiguration Configuration;
    std::int64_t Read = 0;
    std::int64_t Peer = 0;
    const auto Versions =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    for (const int Version : Versions) {
      if (Version % 2 == 0) {
        Configuration.recordRead(Version);
        Read = std::max<std::int64_t>(Read, Version);
      } else {
        Configuration.recordPeer(Version);
        Peer = std::max<std::int64_t>(Peer, Version);
      }
      if (Version == 39)
        Configuration.endQuestions();
      if (Configuration.mayServe())
        RC_ASSERT(Read >= Peer);
    }
    Configuration.endQuestions();
    Configuration.giveUp();
    RC_ASSERT(Configuration.mayServe() == (Read > 0));
  }));
}
