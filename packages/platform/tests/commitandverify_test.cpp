#include "sardinerill/platform/memoryplatform.h"

#include <doctest/doctest.h>

using namespace sardinerill;

namespace {

const RowKey Key{"t", "k"};

Transaction makeTransaction(Revision ExpectedRevision,
                            const std::string &Value) {
  return Transaction{makeWriteId(), {{Key, ExpectedRevision}}, {{Key, Value}}};
}

} // namespace

TEST_CASE("a lost reply after the write took effect counts as committed once") {
  MemoryPlatform Platform;
  Platform.setFaults({.LoseReplies = 1});
  auto Outcome = commitSettled(Platform, makeTransaction(0, "a"));
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  CHECK(Platform.commits() == 1);
}

TEST_CASE("a transaction that was sent twice by the transport is no conflict") {
  MemoryPlatform Platform;
  const Transaction Txn = makeTransaction(0, "a");
  REQUIRE(Platform.commit(Txn).has_value());
  auto Outcome = commitSettled(Platform, Txn);
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  CHECK(Platform.commits() == 1);
}

TEST_CASE("a write made on an old revision conflicts and changes nothing") {
  MemoryPlatform Platform;
  REQUIRE(commitSettled(Platform, makeTransaction(0, "a")).has_value());
  auto Outcome = commitSettled(Platform, makeTransaction(0, "b"));
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Conflict);
  CHECK(Platform.read({Key})->front().Value == "a");
}

TEST_CASE("with the platform down the outcome is an error, not a conflict") {
  MemoryPlatform Platform;
  Platform.setFaults({.Down = true});
  auto Outcome = commitSettled(Platform, makeTransaction(0, "a"));
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().Kind == ErrorKind::PlatformUnavailable);
}
