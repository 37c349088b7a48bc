#include "sardinerill/runtimes/runtimemodel.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace sardinerill;

namespace {

RunTimeKey keyOf(int Image, int Organisation) {
  return RunTimeKey::of({.Queue = "queue",
                         .Image = "image" + std::to_string(Image),
                         .CpuMilli = 4000,
                         .Organisation = "org" + std::to_string(Organisation)});
}

RunTimeSummary anySummary() {
  RunTimeModel Model;
  const int Runs = *rc::gen::inRange(0, 40);
  for (int Index = 0; Index < Runs; ++Index)
    Model.learn(keyOf(*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 3)),
                milliseconds(*rc::gen::inRange(0, 5000)),
                milliseconds(*rc::gen::inRange(1, 60000)));
  return Model.summary();
}

std::string encodedWith(const std::function<void(nlohmann::json &)> &Change) {
  RunTimeModel Model;
  Model.learn(keyOf(0, 0), seconds(1), seconds(2));
  const std::string Encoded = encodeSummary(Model.summary());
  nlohmann::json Document = nlohmann::json::from_cbor(Encoded);
  Change(Document);
  const auto Changed = nlohmann::json::to_cbor(Document);
  return {Changed.begin(), Changed.end()};
}

} // namespace

TEST_CASE("summaries merge in any order with the same result") {
  // Holders that succeed each other may merge in different orders.
  CHECK(rc::check([] {
    const RunTimeSummary A = anySummary();
    const RunTimeSummary B = anySummary();
    const RunTimeSummary C = anySummary();
    const RunTimeSummary Expected = mergeSummaries(mergeSummaries(A, B), C);
    RC_ASSERT(mergeSummaries(B, mergeSummaries(C, A)) == Expected);
    RC_ASSERT(mergeSummaries(mergeSummaries(C, B), A) == Expected);
    RC_ASSERT(mergeSummaries(A, RunTimeSummary{}) == A);
  }));
}

TEST_CASE("a summary survives encoding, and its forecasts loading") {
  CHECK(rc::check([] {
    const RunTimeSummary Summary = anySummary();
    const auto Decoded = decodeSummary(encodeSummary(Summary));
    RC_ASSERT(Decoded.has_value());
    RC_ASSERT(*Decoded == Summary);
    RunTimeModel Model;
    Model.merge(*Decoded);
    RC_ASSERT(Model.summary() == Summary);
  }));
}

TEST_CASE("a summary of many keys is limited to the newest that fit") {
  // A row that is too large is refused by the table, and nothing is stored.
  RunTimeModel Model(100000);
  for (int Index = 0; Index < 3000; ++Index)
    Model.learn(keyOf(Index, 0), seconds(1), seconds(1 + Index % 5));
  const std::string Encoded = encodeSummary(Model.summary());
  CHECK(Encoded.size() <= MaxSummaryBytes);
  CHECK(Encoded.size() > MaxSummaryBytes / 2);
  const auto Decoded = decodeSummary(Encoded);
  REQUIRE(Decoded);
  CHECK(Decoded->Entries.contains(keyOf(2999, 0).Levels[0]));
  CHECK_FALSE(Decoded->Entries.contains(keyOf(0, 0).Levels[0]));
}

TEST_CASE("malformed summaries are rejected") {
  // The row may have been written by another version, or be damaged. A value
  // out of range would be an index past the end of the bins.
  CHECK(decodeSummary(encodedWith([](auto &) {})));
  CHECK_FALSE(decodeSummary(""));
  CHECK_FALSE(decodeSummary("not CBOR"));
  CHECK_FALSE(decodeSummary(std::string(MaxSummaryBytes + 1, '\0')));
  const std::string Encoded = encodedWith([](auto &) {});
  for (std::size_t Length = 0; Length < Encoded.size(); ++Length)
    CHECK_FALSE(decodeSummary(Encoded.substr(0, Length)));
  CHECK_FALSE(
      decodeSummary(encodedWith([](auto &Each) { Each["version"] = 2; })));
  CHECK_FALSE(
      decodeSummary(encodedWith([](auto &Each) { Each["version"] = 0; })));
  CHECK_FALSE(
      decodeSummary(encodedWith([](auto &Each) { Each["keys"] = "x"; })));
  for (const int Bin : {-1, 96, 1000000})
    CHECK_FALSE(decodeSummary(
        encodedWith([&](auto &Each) { Each["keys"][0][2][0] = Bin; })));
  for (const int Weight : {-1, 0, 2000000000})
    CHECK_FALSE(decodeSummary(
        encodedWith([&](auto &Each) { Each["keys"][0][2][1] = Weight; })));
  CHECK_FALSE(decodeSummary(
      encodedWith([](auto &Each) { Each["keys"][0][4][1] = 0; })));
  CHECK_FALSE(decodeSummary(
      encodedWith([](auto &Each) { Each["keys"][0][2].push_back(1); })));
}

TEST_CASE("random bytes never decode to a summary that can't be merged") {
  CHECK(rc::check([](const std::string &Bytes) {
    if (const auto Decoded = decodeSummary(Bytes))
      RunTimeModel().merge(*Decoded);
  }));
}
