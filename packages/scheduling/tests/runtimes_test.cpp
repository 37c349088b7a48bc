#include "jobgraph.h"
#include "schedulermodel.h"
#include "testsite.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

SchedulerOptions learning() { return {.Policy = {.LearnRunTimes = true}}; }

StepSpec stepOfImage(const std::string &Image, int Count, int EstimateMs) {
  StepSpec Step = stepOf(Count, 1000, EstimateMs);
  Step.Image = Image;
  return Step;
}

/// Runs \p Jobs jobs of one task of \p Image, each for \p Ms.
void runJobs(TestSite &Site, const std::string &Image, int Jobs, int EstimateMs,
             int Ms) {
  Site.TaskDurationMs = Ms;
  for (int Index = 0; Index < Jobs; ++Index) {
    Site.submit(jobOf(Image + std::to_string(Site.NowMs),
                      {stepOfImage(Image, 1, EstimateMs)}));
    Site.schedule();
    Site.advance(Ms);
  }
}

} // namespace

TEST_CASE("nothing is learned while the switch is off") {
  TestSite Site;
  Site.add("a", 8000);
  runJobs(Site, "image", 10, 1000, 500);
  CHECK(Site.JobScheduler.runTimes().size() == 0);
  CHECK(Site.JobScheduler.takeRunTimeAccuracy().empty());
}

TEST_CASE("waiting work is ordered by forecasts instead of estimates") {
  // Estimates that are off by nine tenths would place the long job first.
  for (const bool Learns : {false, true}) {
    TestSite Site(Learns ? learning() : SchedulerOptions{});
    // Otherwise work beyond the share decides.
    Site.Configuration.Organisations[0].Share = 100;
    Site.JobScheduler.configure(Site.Configuration);
    Site.add("a", 1000);
    runJobs(Site, "long", 10, 500, 3000);
    runJobs(Site, "short", 10, 2000, 600);
    Site.submit(jobOf("l", {stepOfImage("long", 1, 500)}));
    Site.submit(jobOf("s", {stepOfImage("short", 1, 2000)}));
    const auto Starts = Site.schedule();
    REQUIRE(Starts.size() == 1);
    CHECK(Starts[0].Run.Task.Job == JobId(Learns ? "s" : "l"));
  }
}

TEST_CASE("the errors of forecasts and estimates are reported") {
  TestSite Site(learning());
  Site.add("a", 8000);
  runJobs(Site, "image", 10, 1000, 2000);
  Site.JobScheduler.takeRunTimeAccuracy();
  runJobs(Site, "image", 20, 1000, 2000);
  const auto Reports = Site.JobScheduler.takeRunTimeAccuracy();
  REQUIRE(Reports.size() == 1);
  const RunTimeAccuracyReport &Report = Reports.begin()->second;
  CHECK(Reports.begin()->first == QueueId("queue-pool"));
  CHECK(Report.Runs == 20);
  CHECK(Report.ForecastMedian < 0.15);
  CHECK(Report.EstimateMedian == doctest::Approx(0.5).epsilon(0.1));
  CHECK(Site.JobScheduler.takeRunTimeAccuracy().empty());
}

TEST_CASE("a run whose start is not known teaches nothing") {
  // A new holder finds it at work and would learn a time that is too short.
  TestSite Site(learning());
  FakeUpstream &Upstream = Site.add("a", 8000);
  Site.submit(jobOf("job", {stepOfImage("image", 1, 1000)}), true);
  Upstream.Running[{{JobId("job"), 0, 0, 0}, 1}] = {Site.NowMs + 500, 0};
  Site.advance(100);
  Site.advance(500);
  CHECK(Site.JobScheduler.stateOf(JobId("job")).has_value());
  CHECK(Site.JobScheduler.runTimes().size() == 0);
}

TEST_CASE("a run that failed or was stopped teaches nothing") {
  TestSite Site(learning());
  FakeUpstream &Upstream = Site.add("a", 8000);
  for (const RunEnd Kind :
       {RunEnd::Failed, RunEnd::Stopped, RunEnd::LeaseExpired}) {
    Site.submit(jobOf("job" + std::to_string(int(Kind)),
                      {stepOfImage("image", 1, 1000)}));
    const auto Starts = Site.schedule();
    REQUIRE(Starts.size() == 1);
    Upstream.end(Starts[0].Run, Kind);
    Site.JobScheduler.cancelJob(Starts[0].Run.Task.Job, at(Site.NowMs));
    Site.advance(100);
  }
  CHECK(Site.JobScheduler.runTimes().size() == 0);
}

TEST_CASE("what an earlier holder learned is in force at once") {
  TestSite Site(learning());
  Site.add("a", 8000);
  runJobs(Site, "image", 10, 1000, 3000);
  TestSite Next(learning());
  Next.JobScheduler.mergeRunTimes(Site.JobScheduler.runTimes().summary());
  CHECK(Next.JobScheduler.runTimes().summary() ==
        Site.JobScheduler.runTimes().summary());
  // The forecast enters the demand for arriving work.
  Next.submit(jobOf("job", {stepOfImage("image", 8, 1000)}));
  Site.submit(jobOf("job", {stepOfImage("image", 8, 1000)}));
  TestSite Unlearned(learning());
  Unlearned.submit(jobOf("job", {stepOfImage("image", 8, 1000)}));
  const auto Arriving = [](TestSite &Each) {
    return double(Each.JobScheduler.demand(at(Each.NowMs))[PoolId("pool")]
                      .ArrivingCpuMilli);
  };
  CHECK(Arriving(Next) ==
        doctest::Approx(3 * Arriving(Unlearned)).epsilon(0.15));
}

TEST_CASE(
    "the remaining work of a job takes the age of its runs into account") {
  // A task that has run for half its time does not need its whole time again,
  // and the end of a step is that of its slowest task.
  RunTimeModel RunTimes;
  const RunTimeKey Key = RunTimeKey::of({.Queue = "queue"});
  for (int Index = 0; Index < 300; ++Index)
    RunTimes.learn(Key, {}, milliseconds(1000 + 10 * (Index * 37 % 300)));
  JobSpec Spec = jobOf("job", {stepOf(8, 1000, 0)});
  OccurrenceRecord Occurrence = makeOccurrence(Spec, 0, nullptr);
  const std::vector<StepForecast> Forecasts{
      {.Key = Key,
       .Mean = RunTimes.forecast(Key, {}).Mean,
       .Slowest = RunTimes.slowest(Key, {}, 8)}};
  const auto WorkAt = [&](int Ms) {
    return remainingWork(Spec, Occurrence, Forecasts, RunTimes, at(Ms));
  };
  const RemainingWork Fresh = WorkAt(0);
  CHECK(Fresh.CriticalPath == criticalPath(Spec, Forecasts));
  CHECK(Fresh.CriticalPath > milliseconds(3300));
  CHECK(Fresh.CpuSeconds == doctest::Approx(8 * 2.5).epsilon(0.1));
  for (TaskRecord &Task : Occurrence.Steps[0].Tasks) {
    Task.Runs.push_back(std::make_shared<Run>());
    Task.Runs[0]->Phase = RunPhase::Active;
  }
  CHECK(WorkAt(2000).CpuSeconds < 0.55 * Fresh.CpuSeconds);
  CHECK(WorkAt(2000).CriticalPath < Fresh.CriticalPath - milliseconds(1500));
  // Overdue tasks are not about to end in this moment.
  CHECK(WorkAt(10000).CriticalPath >= milliseconds(4000));
  // A done step needs nothing.
  for (TaskRecord &Task : Occurrence.Steps[0].Tasks)
    Task.Done = true;
  Occurrence.Steps[0].DoneCount = 8;
  CHECK(WorkAt(2000).CpuSeconds == 0);
  CHECK(WorkAt(2000).CriticalPath == Duration{});
}
