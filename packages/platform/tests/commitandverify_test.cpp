#include "sardinerill/platform/inmemoryplatform.h"

#include <doctest/doctest.h>

using namespace sardinerill;

namespace {

const RowKey Key{"t", "k"};

Transaction makeTransaction(Revision ExpectedRevision,
                            const std::string &Value) {
  return Transaction{makeWriteId(), {{Key, ExpectedRevision}}, {{Key, Value}}};
}

} // namespace

// The write is applied but its reply is lost. Treating this as a failure makes
// the caller write again.
TEST_CASE("a commit whose reply is lost is reported and applied once") {
  InMemoryPlatform Platform;
  Platform.setFaults({.RepliesToDrop = 1});
  auto Outcome = commitAndVerify(Platform, makeTransaction(0, "a"));
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  CHECK(Platform.commitCount() == 1);
}

// The second copy of the transaction conflicts with the first, which has
// changed the revision. That conflict must not reach the caller.
TEST_CASE("a transaction sent twice by the transport is no conflict") {
  InMemoryPlatform Platform;
  const Transaction Txn = makeTransaction(0, "a");
  REQUIRE(Platform.commit(Txn).has_value());
  auto Outcome = commitAndVerify(Platform, Txn);
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Committed);
  CHECK(Platform.commitCount() == 1);
}

TEST_CASE("a write with a stale revision conflicts and is not applied") {
  InMemoryPlatform Platform;
  REQUIRE(commitAndVerify(Platform, makeTransaction(0, "a")).has_value());
  auto Outcome = commitAndVerify(Platform, makeTransaction(0, "b"));
  REQUIRE(Outcome.has_value());
  CHECK(*Outcome == CommitOutcome::Conflict);
  CHECK(Platform.read({Key})->front().Value == "a");
}

// A caller takes a conflict as proof that nothing was written, which is unknown
// here.
TEST_CASE("a commit to an unavailable platform fails without a conflict") {
  InMemoryPlatform Platform;
  Platform.setFaults({.Unavailable = true});
  auto Outcome = commitAndVerify(Platform, makeTransaction(0, "a"));
  REQUIRE_FALSE(Outcome.has_value());
  CHECK(Outcome.error().Kind == ErrorKind::PlatformUnavailable);
}
