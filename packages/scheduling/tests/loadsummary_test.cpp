#include "testsite.h"

#include "sardinerill/scheduling/admissionrequest.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

TEST_CASE("the load of a pool contains what precedes a new job") {
  // Guards against work that is counted although it gives way to a new job, and
  // against idle VMs or free capacity that are overlooked.
  TestSite Site({.Policy = {.FairShares = true}});
  Site.Configuration.Organisations = {
      {.Id = OrganisationId("org"), .Keys = {"k"}, .Share = 3}};
  Site.JobScheduler.configure(Site.Configuration);
  Site.add("u1", 4000);
  CHECK(Site.JobScheduler.loadSummary(at(Site.NowMs)).HasIdleVms);
  Site.submit(jobOf("running", {stepOf(3, 1000, 1000)}));
  Site.schedule();
  Site.submit(jobOf("waiting", {stepOf(4, 2000, 500)}));
  Site.submit(jobOf("waiting2", {stepOf(2, 2000, 500)}));
  Site.submit(jobOf("excess", {stepOf(9, 2000, 500)}));
  const auto Summary = Site.JobScheduler.loadSummary(at(Site.NowMs));
  CHECK_FALSE(Summary.HasIdleVms);
  CHECK(Summary.FairShares);
  REQUIRE(Summary.Pools.contains("pool"));
  const overload::PoolLoad &Pool = Summary.Pools.at("pool");
  CHECK(Pool.Cores == 4);
  CHECK(Pool.Free.CpuMilli == 1000);
  REQUIRE(Pool.Ahead.contains(0));
  CHECK(Pool.Ahead.at(0).Started == 3);
  CHECK(Pool.Ahead.at(0).Waiting[overload::sizeBucketOf(4)] == 4);
  CHECK(Pool.Ahead.at(0).Waiting[overload::sizeBucketOf(2)] == 2);
  CHECK(Pool.Ahead.at(0).Waiting[overload::sizeBucketOf(9)] == 0);
  CHECK(Pool.FairWaiting.at("org") == 6);
  // Late work gives way as well.
  const auto Late = Site.JobScheduler.loadSummary(at(Site.NowMs + 60000));
  CHECK(Late.Pools.at("pool").Ahead.empty());
}

TEST_CASE("long-running tasks are not capacity for short ones") {
  // Guards against waits that are forecast with cores that are never free.
  TestSite Site;
  Site.add("u1", 4000);
  StepSpec Service = stepOf(1, 3000, 100);
  Service.LongRunning = true;
  Site.submit(jobOf("service", {Service}));
  Site.schedule();
  CHECK(Site.JobScheduler.loadSummary(at(Site.NowMs)).Pools.at("pool").Cores ==
        1);
}

TEST_CASE("pools that are not known completely are left out") {
  // Guards against a new holder that takes upstreams which have not answered
  // for missing capacity, and VMs that are moving for busy ones.
  TestSite Site;
  Site.add("u1", 4000);
  Site.addVm("silent");
  CHECK_FALSE(
      Site.JobScheduler.loadSummary(at(Site.NowMs)).Pools.contains("pool"));
  Site.Vms.back() = {.Id = VmId("vm-silent"), .State = VmState::Moving};
  Site.JobScheduler.setHostedUpstreams(Site.Vms);
  Site.submit(jobOf("running", {stepOf(1, 1000, 1000)}));
  Site.schedule();
  const auto Summary = Site.JobScheduler.loadSummary(at(Site.NowMs));
  CHECK(Summary.Pools.contains("pool"));
  CHECK(Summary.HasIdleVms);
}

TEST_CASE("recurring jobs and jobs with long-running tasks are never refused") {
  // Guards against refusals by a forecast that does not apply to them.
  JobSpec Job = jobOf("job", {stepOf(2, 1000, 500), stepOf(1, 8000, 500, {0})});
  const auto Request = admissionRequestOf(Job);
  REQUIRE(Request);
  CHECK(Request->CriticalPath == milliseconds(1000));
  CHECK(Request->CpuSeconds == 5);
  REQUIRE(Request->FirstTasks.size() == 1);
  CHECK(Request->FirstTasks[0].CpuMilli == 1000);
  Job.Schedule.Count = 2;
  CHECK_FALSE(admissionRequestOf(Job));
  Job.Schedule.Count = 0;
  Job.Steps[0].LongRunning = true;
  CHECK_FALSE(admissionRequestOf(Job));
}
