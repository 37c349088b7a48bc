#include "sardinerill/overload/admission.h"

#include <doctest/doctest.h>
#include <set>

using namespace sardinerill;
using namespace sardinerill::overload;

namespace {

/// A pool of 100 cores, all in use, with \p Waiting CPU seconds of jobs of one
/// second.
LoadSummary summaryOf(double Waiting) {
  LoadSummary Summary;
  PoolLoad &Pool = Summary.Pools["pool"];
  Pool.Cores = 100;
  Pool.Free = {500, 1000, 0};
  Pool.Ahead[1].Waiting[sizeBucketOf(1)] = Waiting;
  return Summary;
}

/// Allowed time 4 s, so that its value ends after 12 s. It takes 2 s.
AdmissionRequest request() {
  return {.Job = "0123456789abcdef",
          .Queue = "queue",
          .Pool = "pool",
          .Organisation = "a",
          .Priority = 1,
          .CriticalPath = seconds(2),
          .CpuSeconds = 64,
          .CriticalPathFactor = 1.5,
          .LatencyTarget = seconds(1),
          .FirstTasks = {{1000, 100, 0}}};
}

} // namespace

TEST_CASE("a job is refused if the work ahead outlasts its value") {
  // Guards against refusals of jobs that could be served, and against accepting
  // jobs that can't. 10 s are left for the wait, 15 s with the margin.
  CHECK_FALSE(refusalOf(request(), summaryOf(1490)));
  const auto Refused = refusalOf(request(), summaryOf(1600));
  REQUIRE(Refused);
  CHECK(Refused->PredictedWait == seconds(16));
  CHECK(Refused->RetryAfter >= seconds(1));
  CHECK(Refused->RetryAfter <= seconds(5));
}

TEST_CASE("only work that certainly precedes the job counts") {
  // Guards against refusals because of larger jobs, lower priorities or jobs of
  // other organisations, which are placed after it.
  LoadSummary Larger = summaryOf(0);
  Larger.Pools["pool"].Ahead[1].Waiting[sizeBucketOf(64)] = 1e6;
  Larger.Pools["pool"].Ahead[2].Started = 1e6;
  CHECK_FALSE(refusalOf(request(), Larger));
  LoadSummary Started = summaryOf(0);
  Started.Pools["pool"].Ahead[1].Started = 1e6;
  CHECK(refusalOf(request(), Started));
  LoadSummary Higher = summaryOf(0);
  Higher.Pools["pool"].Ahead[0].Waiting[SizeBuckets - 1] = 1e6;
  CHECK(refusalOf(request(), Higher));
  LoadSummary Fair = summaryOf(1e6);
  Fair.FairShares = true;
  CHECK_FALSE(refusalOf(request(), Fair));
  Fair.Pools["pool"].FairWaiting["a"] = 1e6;
  CHECK(refusalOf(request(), Fair));
}

TEST_CASE("nothing is refused while capacity is idle or unknown") {
  // Guards against refusals while VMs could run the job, or by a holder that
  // does not know the pool.
  LoadSummary Idle = summaryOf(1e6);
  REQUIRE(refusalOf(request(), Idle));
  Idle.HasIdleVms = true;
  CHECK_FALSE(refusalOf(request(), Idle));
  LoadSummary Free = summaryOf(1e6);
  Free.Pools["pool"].Free = {1000, 1000, 0};
  CHECK_FALSE(refusalOf(request(), Free));
  LoadSummary Empty = summaryOf(1e6);
  Empty.Pools["pool"].Cores = 0;
  CHECK_FALSE(refusalOf(request(), Empty));
  CHECK_FALSE(refusalOf(request(), LoadSummary{}));
}

TEST_CASE("the learned factor of the queue scales the job") {
  // Guards against estimates that are known to be wrong: a job that takes twice
  // as long also has value for longer.
  LoadSummary Summary = summaryOf(1600);
  Summary.RunTimeFactors["queue"] = 2;
  CHECK_FALSE(refusalOf(request(), Summary));
}

TEST_CASE("callers are told different delays") {
  // Guards against callers that all return at the same time.
  std::set<std::int64_t> Delays;
  AdmissionRequest Request = request();
  for (int Index = 0; Index < 20; ++Index) {
    Request.Job = "job" + std::to_string(Index);
    const auto Refused = refusalOf(Request, summaryOf(1e6));
    REQUIRE(Refused);
    CHECK(Refused->RetryAfter <= seconds(30));
    Delays.insert(Refused->RetryAfter.count());
  }
  CHECK(Delays.size() > 15);
}

TEST_CASE("a summary is the same after encoding, and a bad one is rejected") {
  // Guards against an entry daemon of another version that refuses jobs because
  // of a summary it misreads.
  LoadSummary Summary = summaryOf(1600);
  Summary.FairShares = true;
  Summary.Pools["pool"].FairWaiting["a"] = 7;
  Summary.RunTimeFactors["queue"] = 1.25;
  const std::string Text = encodeSummary(Summary, milliseconds(70));
  const auto Decoded = decodeSummary(Text);
  REQUIRE(Decoded);
  CHECK(Decoded->Summary == Summary);
  CHECK(Decoded->Age == milliseconds(70));
  for (std::size_t Length = 0; Length < Text.size(); ++Length)
    CHECK_FALSE(decodeSummary(Text.substr(0, Length)));
  CHECK_FALSE(decodeSummary(R"({"format":2})"));
  CHECK_FALSE(decodeSummary(R"([])"));
}
