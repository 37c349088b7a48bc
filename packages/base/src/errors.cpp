#include "sardinerill/base/errors.h"

namespace sardinerill {

namespace {

using enum ErrorKind;
constexpr auto DidNotRun = ExecutionState::DidNotRun;
constexpr auto MayHaveRun = ExecutionState::MayHaveRun;
constexpr auto Never = RetryAdvice::Never;
constexpr auto Later = RetryAdvice::Later;
constexpr auto WithSameKey = RetryAdvice::WithSameKey;
constexpr auto AfterChange = RetryAdvice::AfterChange;

constexpr std::size_t ErrorKindCount = static_cast<std::size_t>(Count);

constexpr std::array<ErrorResponse, ErrorKindCount> Responses{{
    {BadRequest, "bad_request", 400, DidNotRun, AfterChange,
     "The request is malformed"},
    {BodyTooLarge, "body_too_large", 413, DidNotRun, AfterChange,
     "The body is too large"},
    {KeyMissing, "key_missing", 401, DidNotRun, AfterChange,
     "A team's key is required"},
    {KeyUnknown, "key_unknown", 401, DidNotRun, AfterChange,
     "The key is not known"},
    {KeyWithdrawn, "key_withdrawn", 401, DidNotRun, AfterChange,
     "The key was withdrawn"},
    {KeyCheckUnavailable, "key_not_fresh", 503, DidNotRun, Later,
     "Keys can't be checked: this zone is cut off"},
    {NotPermitted, "not_permitted", 403, DidNotRun, AfterChange,
     "The key may not do this"},
    {ClassUnknown, "class_unknown", 404, DidNotRun, AfterChange,
     "No such class of work"},
    {IdempotencyKeyMissing, "idempotency_key_missing", 400, DidNotRun,
     AfterChange, "This class needs an Idempotency-Key"},
    {DuplicateRequest, "duplicate_request", 409, MayHaveRun, Never,
     "A request with this Idempotency-Key was already taken"},
    {QueueFull, "queue_full", 429, DidNotRun, Later, "The queue is full"},
    {TargetCannotBeMet, "target_unreachable", 503, DidNotRun, Later,
     "The target can no longer be met"},
    {NoWorkerFits, "no_worker_fits", 422, DidNotRun, AfterChange,
     "No worker fits the job"},
    {CeilingReached, "ceiling_reached", 429, DidNotRun, Later,
     "The team is at its ceiling"},
    {ErrorKind::Draining, "draining", 503, DidNotRun, Later,
     "This entry VM is stopping"},
    {PlatformUnavailable, "platform_unavailable", 503, DidNotRun, Later,
     "The platform's table can't be reached"},
    {PlatformOutcomeUnknown, "platform_outcome_unknown", 504, MayHaveRun,
     WithSameKey, "The platform did not answer in time"},
    {PlatformHistoryGone, "platform_history_gone", 503, DidNotRun, Later,
     "The platform no longer holds the history asked for"},
    {JobNotFound, "job_not_found", 410, DidNotRun, Never, "No such job"},
    {QueueUnknown, "queue_unknown", 404, DidNotRun, AfterChange,
     "No such queue"},
    {ConfigurationBehind, "configuration_behind", 503, DidNotRun, Later,
     "This entry VM has not read the newest configuration yet"},
    {UpstreamUnreachable, "upstream_unreachable", 502, DidNotRun, Later,
     "No upstream could be reached"},
    {UpstreamFailed, "upstream_failed", 502, MayHaveRun, WithSameKey,
     "The upstream failed"},
    {UpstreamTimeout, "upstream_timeout", 504, MayHaveRun, WithSameKey,
     "The upstream did not answer in time"},
    {UpstreamBadReply, "upstream_bad_reply", 502, MayHaveRun, WithSameKey,
     "The upstream's answer was not whole or not ours"},
    // 499 is not registered; nginx uses it for a connection that the client has
    // closed.
    {CallerGone, "caller_gone", 499, MayHaveRun, Never, "The caller hung up"},
    {VersionConflict, "version_conflict", 409, DidNotRun, AfterChange,
     "The change was made on another version"},
    {ConfigInvalid, "config_invalid", 422, DidNotRun, AfterChange,
     "The configuration is invalid"},
    {BudgetExhausted, "budget_exhausted", 409, DidNotRun, Later,
     "The availability budget allows no more disruption"},
    {NotFound, "not_found", 404, DidNotRun, AfterChange, "No such thing"},
    {Internal, "internal", 500, MayHaveRun, Later, "An internal error"},
}};

constexpr bool responsesMatchKinds() {
  for (std::size_t Index = 0; Index < ErrorKindCount; ++Index)
    if (static_cast<std::size_t>(Responses[Index].Kind) != Index)
      return false;
  return true;
}
static_assert(responsesMatchKinds(),
              "Responses must have one entry per ErrorKind, in enum order");

} // namespace

const ErrorResponse &errorResponseFor(ErrorKind Kind) {
  return Responses[static_cast<std::size_t>(Kind)];
}

std::string_view toString(ExecutionState Execution) {
  return Execution == ExecutionState::DidNotRun ? "did_not_run"
                                                : "may_have_run";
}

std::string_view toString(RetryAdvice Advice) {
  constexpr std::array<std::string_view, 4> Names{
      "never", "later", "with_same_key", "after_change"};
  return Names[static_cast<std::size_t>(Advice)];
}

} // namespace sardinerill
