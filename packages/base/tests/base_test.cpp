#include "sardinerill/base/clock.h"
#include "sardinerill/base/errors.h"
#include "sardinerill/base/metrics.h"
#include "sardinerill/base/text.h"

#include <doctest/doctest.h>
#include <set>

using namespace sardinerill;

TEST_CASE(
    "error kinds have unique names, and failures of an upstream and internal "
    "errors report 'may have run'") {
  std::set<std::string_view> Names;
  for (std::size_t Index = 0; Index < std::size_t(ErrorKind::Count); ++Index) {
    const ErrorResponse &Response =
        errorResponseFor(static_cast<ErrorKind>(Index));
    CHECK(Names.insert(Response.Name).second);
    CHECK(Response.HttpStatus >= 400);
  }
  for (ErrorKind Kind : {ErrorKind::UpstreamFailed, ErrorKind::UpstreamTimeout,
                         ErrorKind::UpstreamBadReply, ErrorKind::Internal})
    CHECK((errorResponseFor(Kind).Execution == ExecutionState::MayHaveRun));
}

TEST_CASE(
    "refusals, retries and latencies are rendered in the Prometheus format") {
  Metrics Stats;
  Stats.countRefusal(ErrorKind::QueueFull);
  Stats.countRetry(RetryReason::UpstreamBusy);
  Stats.observe("answer_ms", "pattern", milliseconds(3));
  const std::string Text = Stats.renderPrometheus();
  for (const char *Line :
       {"sardinerill_refusals_total{reason=\"queue_full\"} 1",
        "sardinerill_refusals_total{reason=\"ceiling_reached\"} 0",
        "sardinerill_retries_total{reason=\"upstream_busy\"} 1",
        "sardinerill_answer_ms_count{class=\"pattern\"} 1", "le=\"+Inf\"} 1"})
    CHECK(Text.find(Line) != std::string::npos);
}

TEST_CASE(
    "names are checked for length and characters, and hexadecimal strings "
    "have two digits per byte") {
  CHECK(isValidName("a-b_c.9"));
  CHECK_FALSE(isValidName(""));
  CHECK_FALSE(isValidName("a b"));
  CHECK_FALSE(isValidName(std::string(101, 'a')));
  CHECK(toHex(std::string("\x0f\xa0", 2)) == "0fa0");
  CHECK(randomHex(16).size() == 32);
  CHECK(randomHex(16) != randomHex(16));
}

// Leases would be extended by the time of a suspension if they were measured
// with CLOCK_MONOTONIC, which stops while a VM is suspended.
TEST_CASE("BootClock includes the time for which a VM was suspended") {
  // CLOCK_BOOTTIME and CLOCK_MONOTONIC after a suspension of one minute.
  const auto Suspended = [](clockid_t Id, timespec *Time) {
    *Time = {.tv_sec = Id == CLOCK_BOOTTIME ? 160 : 100, .tv_nsec = 5000};
    return 0;
  };
  const BootClock Clock(Suspended);
  CHECK((Clock.now() == Instant(seconds(160) + Duration(5))));
}
