#include "sardinerill/scheduling/jobprogress.h"

#include <array>
#include <nlohmann/json.hpp>

namespace sardinerill::site {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> StateNames{
    "queued", "running", "completed", "failed", "cancelled"};

json encodeResources(const Resources &Requested) {
  return {Requested.CpuMilli, Requested.MemoryMb, Requested.Accelerators};
}

json encodeStep(const StepSpec &Step) {
  return {{"n", Step.Count},
          {"need", encodeResources(Step.Requested)},
          {"est", Step.Estimate.count()},
          {"after", Step.DependsOn},
          {"flags",
           {Step.Checkpoints, Step.Gang, Step.SameRack, Step.Speculative,
            Step.LongRunning, Step.BestEffort}},
          {"label", Step.RequiredLabel},
          {"rack", Step.DataRack},
          {"max", Step.MaxPerUpstream},
          {"image", Step.Image},
          {"tail", Step.TailLatencyTarget.count()},
          {"budget", Step.MaxUnavailable}};
}

json encodeQueue(const QueueSettings &Queue) {
  return {{"id", Queue.Id.str()},
          {"pool", Queue.Pool.str()},
          {"priority", Queue.Priority},
          {"attempts", Queue.MaxAttempts},
          {"stretch", Queue.CriticalPathFactor},
          {"target", Queue.LatencyTarget.count()},
          {"advice", Queue.NeedsAdvice},
          {"advisor",
           {Queue.Advisor.PerCall.count(), Queue.Advisor.PerUpstream.count(),
            Queue.Advisor.TicketValidity.count()}}};
}

/// Rows of older builds have no timings.
AdvisorTimings decodeAdvisor(const json &Queue) {
  const auto Found = Queue.find("advisor");
  if (Found == Queue.end())
    return {};
  return {.PerCall = Duration(Found->at(0).get<std::int64_t>()),
          .PerUpstream = Duration(Found->at(1).get<std::int64_t>()),
          .TicketValidity = Duration(Found->at(2).get<std::int64_t>())};
}

QueueSettings decodeQueue(const json &Text) {
  return {.Id = QueueId(Text.at("id")),
          .Pool = PoolId(Text.at("pool")),
          .Priority = Text.at("priority"),
          .MaxAttempts = Text.at("attempts"),
          .CriticalPathFactor = Text.at("stretch"),
          .LatencyTarget = Duration(Text.at("target").get<std::int64_t>()),
          .NeedsAdvice = Text.at("advice"),
          .Advisor = decodeAdvisor(Text)};
}

StepSpec decodeStep(const json &Text) {
  const json &Requested = Text.at("need");
  const json &Flags = Text.at("flags");
  return {.Count = Text.at("n"),
          .Requested = {Requested.at(0), Requested.at(1), Requested.at(2)},
          .Estimate = Duration(Text.at("est").get<std::int64_t>()),
          .DependsOn = Text.at("after").get<std::vector<int>>(),
          .Checkpoints = Flags.at(0),
          .Gang = Flags.at(1),
          .SameRack = Flags.at(2),
          .Speculative = Flags.at(3),
          .LongRunning = Flags.at(4),
          .BestEffort = Flags.at(5),
          .RequiredLabel = Text.at("label"),
          .DataRack = Text.at("rack"),
          .MaxPerUpstream = Text.at("max"),
          .Image = Text.at("image"),
          .TailLatencyTarget = Duration(Text.at("tail").get<std::int64_t>()),
          .MaxUnavailable = Text.at("budget")};
}

/// The last two fields of a row are left out if there were no crashes.
CrashRecord decodeCrashes(const json &Row) {
  if (Row.size() < 8)
    return {};
  return {.Crashes = Row.at(6), .Proven = Row.at(7), .Suspected = true};
}

} // namespace

std::string_view toString(JobState State) {
  return StateNames[static_cast<std::size_t>(State)];
}

std::string encodeProgress(const JobProgress &Progress) {
  json Rows = json::array();
  for (const auto &[Occurrence, Steps] : Progress.Tasks)
    for (const auto &[Step, Tasks] : Steps)
      for (const auto &[Index, Task] : Tasks) {
        json Entry{Occurrence,      Step,
                   Index,           Task.Done ? 1 : 0,
                   Task.FailedRuns, Task.LastRunNumber};
        if (Task.Crashes.Crashes > 0) {
          Entry.push_back(Task.Crashes.Crashes);
          Entry.push_back(Task.Crashes.Proven);
        }
        Rows.push_back(std::move(Entry));
      }
  json Document{{"state", static_cast<int>(Progress.State)}, {"tasks", Rows}};
  for (const PoolId &Pool : Progress.OtherPools)
    Document["pools"].push_back(Pool.str());
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobProgress> decodeProgress(const std::string &Text) {
  try {
    const json Document = json::parse(Text);
    JobProgress Progress;
    const int State = Document.at("state");
    if (State < 0 || State >= static_cast<int>(StateNames.size()))
      return makeError(ErrorKind::BadRequest,
                       "unknown job state: " + std::to_string(State));
    Progress.State = static_cast<JobState>(State);
    for (const json &Row : Document.at("tasks"))
      Progress.Tasks[Row.at(0)][Row.at(1)][Row.at(2)] = {
          .Done = Row.at(3) == 1,
          .FailedRuns = Row.at(4).get<std::vector<int>>(),
          .LastRunNumber = Row.at(5),
          .Crashes = decodeCrashes(Row)};
    if (const auto Pools = Document.find("pools"); Pools != Document.end())
      for (const json &Pool : *Pools)
        Progress.OtherPools.insert(PoolId(Pool.get<std::string>()));
    return Progress;
  } catch (const json::exception &Fault) {
    return makeError(ErrorKind::BadRequest, Fault.what());
  }
}

std::string encodeJob(const JobSpec &Spec) {
  json Steps = json::array();
  for (const StepSpec &Step : Spec.Steps)
    Steps.push_back(encodeStep(Step));
  return json{{"id", Spec.Id.str()},
              {"queue", encodeQueue(Spec.Queue)},
              {"org", Spec.Organisation.str()},
              {"payload", Spec.Payload},
              {"steps", Steps},
              {"due",
               {Spec.Schedule.Count, Spec.Schedule.FirstDueMs,
                Spec.Schedule.IntervalMs}},
              {"at", Spec.AcceptedAtMs}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobSpec> decodeJob(const std::string &Text) {
  try {
    const json Document = json::parse(Text);
    const json &Due = Document.at("due");
    JobSpec Spec{.Id = JobId(Document.at("id")),
                 .Queue = decodeQueue(Document.at("queue")),
                 .Organisation = OrganisationId(Document.at("org")),
                 .Payload = Document.at("payload"),
                 .Schedule = {Due.at(0), Due.at(1), Due.at(2)},
                 .AcceptedAtMs = Document.at("at")};
    for (const json &Step : Document.at("steps"))
      Spec.Steps.push_back(decodeStep(Step));
    return Spec;
  } catch (const json::exception &Fault) {
    return makeError(ErrorKind::BadRequest, Fault.what());
  }
}

} // namespace sardinerill::site
