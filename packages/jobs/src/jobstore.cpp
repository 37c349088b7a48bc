#include "sardinerill/jobs/jobstore.h"

#include "sardinerill/base/logging.h"
#include "sardinerill/platform/platformcodec.h"

#include <array>

namespace sardinerill {

using nlohmann::json;

namespace {

const std::string TableName = "jobs";
/// In the order of JobState.
constexpr std::array<std::string_view, 5> StateNames{
    "queued", "running", "done", "failed", "cancelled"};

RowKey rowKey(const JobId &Id) { return RowKey{TableName, Id.str()}; }

std::string payloadName(const JobId &Id) { return "job-payload/" + Id.str(); }
std::string resultName(const JobId &Id) { return "job-result/" + Id.str(); }

Result<JobState> decodeState(const std::string &Name) {
  for (std::size_t Index = 0; Index < StateNames.size(); ++Index)
    if (StateNames[Index] == Name)
      return static_cast<JobState>(Index);
  return makeError(ErrorKind::BadRequest, "unknown job state " + Name);
}

} // namespace

std::string_view toString(JobState State) {
  return StateNames[static_cast<std::size_t>(State)];
}

std::string encodeJob(const JobRecord &Record) {
  return json{{"id", Record.Id.str()},
              {"team", Record.Team.str()},
              {"class", Record.Class.str()},
              {"state", toString(Record.State)},
              {"owner", Record.Owner.str()},
              {"deadlineMs", Record.DeadlineMs},
              {"attempts", Record.Attempts},
              {"payloadType", Record.PayloadType},
              {"resultStatus", Record.ResultStatus},
              {"resultType", Record.ResultType},
              {"detail", Record.Detail}}
      .dump(-1, ' ', true, json::error_handler_t::replace);
}

Result<JobRecord> decodeJob(const std::string &Text) {
  Result<json> Value = parseJson(Text);
  if (!Value)
    return tl::unexpected(Value.error());
  try {
    Result<JobState> State = decodeState(Value->at("state").get<std::string>());
    if (!State)
      return tl::unexpected(State.error());
    return JobRecord{.Id = JobId(Value->at("id").get<std::string>()),
                     .Team = TeamId(Value->at("team").get<std::string>()),
                     .Class = ClassId(Value->at("class").get<std::string>()),
                     .State = *State,
                     .Owner = DaemonId(Value->at("owner").get<std::string>()),
                     .DeadlineMs = Value->at("deadlineMs").get<std::int64_t>(),
                     .Attempts = Value->at("attempts").get<unsigned>(),
                     .PayloadType = Value->at("payloadType").get<std::string>(),
                     .ResultStatus = Value->at("resultStatus").get<unsigned>(),
                     .ResultType = Value->at("resultType").get<std::string>(),
                     .Detail = Value->at("detail").get<std::string>()};
  } catch (const json::exception &Fault) {
    return makeError(ErrorKind::BadRequest, Fault.what());
  }
}

Result<StoredJob> JobStore::create(const JobRecord &NewJob,
                                   const std::string &Payload) {
  // The payload of an earlier job must not be replaced.
  Result<StoredJob> Earlier = this->read(NewJob.Id);
  if (Earlier || Earlier.error().Kind != ErrorKind::NotFound)
    return Earlier;
  Result<void> Stored =
      this->Platform.putObject(payloadName(NewJob.Id), Payload);
  if (!Stored)
    return tl::unexpected(Stored.error());
  const RowKey Key = rowKey(NewJob.Id);
  Result<CommitOutcome> Outcome = commitAndVerify(
      this->Platform,
      Transaction{makeWriteId(), {{Key, 0}}, {{Key, encodeJob(NewJob)}}});
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  return this->read(NewJob.Id);
}

Result<StoredJob> JobStore::read(const JobId &Id) {
  Result<std::vector<Row>> Rows = this->Platform.read({rowKey(Id)});
  if (!Rows)
    return tl::unexpected(Rows.error());
  const Row &Read = Rows->front();
  if (Read.Rev == 0)
    return makeError(ErrorKind::NotFound, "no job has this id");
  Result<JobRecord> Record = decodeJob(Read.Value);
  if (!Record)
    return tl::unexpected(Record.error());
  return StoredJob{*Record, Read.Rev};
}

Result<std::vector<StoredJob>> JobStore::readAll() {
  Result<std::vector<Row>> Rows = this->Platform.scan(TableName);
  if (!Rows)
    return tl::unexpected(Rows.error());
  std::vector<StoredJob> Jobs;
  for (const Row &Read : *Rows) {
    Result<JobRecord> Record = decodeJob(Read.Value);
    if (Record)
      Jobs.push_back(StoredJob{*Record, Read.Rev});
    else
      logEvent(LogLevel::Warning, "job.row_unreadable",
               {{"job", Read.Key.Key}, {"detail", Record.error().Detail}});
  }
  return Jobs;
}

Result<StoredJob> JobStore::update(const StoredJob &Expected,
                                   const JobRecord &Changed) {
  const RowKey Key = rowKey(Expected.Record.Id);
  Result<CommitOutcome> Outcome =
      commitAndVerify(this->Platform, Transaction{makeWriteId(),
                                                  {{Key, Expected.Rev}},
                                                  {{Key, encodeJob(Changed)}}});
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  if (*Outcome == CommitOutcome::Conflict)
    return makeError(ErrorKind::VersionConflict,
                     "the job was changed in the meantime");
  Result<StoredJob> Current = this->read(Expected.Record.Id);
  if (Current && Current->Record != Changed)
    return makeError(ErrorKind::VersionConflict,
                     "the job was changed in the meantime");
  return Current;
}

Result<std::string> JobStore::payload(const JobId &Id) {
  return this->Platform.getObject(payloadName(Id));
}

Result<std::string> JobStore::resultOf(const JobId &Id) {
  return this->Platform.getObject(resultName(Id));
}

Result<void> JobStore::putResult(const JobId &Id, const std::string &Body) {
  return this->Platform.putObject(resultName(Id), Body);
}

} // namespace sardinerill
