#include "../../base/tests/logcapture.h"
#include "sardinerill/jobs/jobstore.h"
#include "sardinerill/platform/inmemoryplatform.h"

#include <doctest/doctest.h>

using namespace sardinerill;

// A job whose row can't be decoded is run by nobody: operators must be told.
TEST_CASE("a job row that can't be decoded is logged and doesn't hide the "
          "others") {
  InMemoryPlatform Platform;
  JobStore Store(Platform);
  JobRecord Job;
  Job.Id = JobId("good");
  REQUIRE(Store.create(Job, "payload").has_value());
  const std::vector<std::string> Broken{"{", "[]", "\xff",
                                        R"({"state": "unheard-of"})"};
  for (std::size_t Index = 0; Index < Broken.size(); ++Index)
    REQUIRE(Platform
                .commit({makeWriteId(),
                         {},
                         {{RowKey{"jobs", "broken-" + std::to_string(Index)},
                           Broken[Index]}}})
                .has_value());
  Result<std::vector<StoredJob>> Jobs;
  const std::string Log = captureLog([&] { Jobs = Store.readAll(); });
  REQUIRE(Jobs.has_value());
  REQUIRE(Jobs->size() == 1);
  CHECK(Jobs->front().Record == Store.read(JobId("good"))->Record);
  for (std::size_t Index = 0; Index < Broken.size(); ++Index)
    CHECK(Log.find("event=job.row_unreadable job=broken-" +
                   std::to_string(Index)) != std::string::npos);
}
