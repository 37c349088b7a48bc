#include "schedulerstate.h"

/// \file
/// Tickets of the placement advisor, which decides on which upstreams a step
/// may run.

namespace sardinerill::site {

namespace {

/// Maximum number of upstreams in one request to the placement advisor.
constexpr std::size_t MaxCandidates = 30;
/// Safety margin: tickets are not used within this time before they expire.
constexpr milliseconds TicketMargin{150};

} // namespace

std::vector<UpstreamId>
Scheduler::Impl::adviceCandidates(const StepRecord &Record,
                                  const PoolId &Pool) const {
  std::vector<UpstreamId> Candidates;
  const auto Found = this->ByPool.find(Pool);
  if (Found == this->ByPool.end())
    return Candidates;
  std::vector<UpstreamId> AdmittedBefore;
  for (const UpstreamRecord *Each : Found->second) {
    const UpstreamId &Id = Each->Report.Id;
    if (!Each->acceptsTasks() || Record.NotAdmitted.contains(Id))
      continue;
    (Record.Tickets.contains(Id) ? AdmittedBefore : Candidates).push_back(Id);
  }
  // Upstreams that have not been asked for come first, so that each is in time.
  Candidates.insert(Candidates.end(), AdmittedBefore.begin(),
                    AdmittedBefore.end());
  if (Candidates.size() > MaxCandidates)
    Candidates.resize(MaxCandidates);
  return Candidates;
}

bool Scheduler::Impl::ensureTickets(const WaitingStep &Waiting, Instant Now) {
  StepRecord &Record = Waiting.record();
  const bool HasTicket =
      std::ranges::any_of(Record.Tickets, [&](const auto &Entry) {
        return Entry.second.second > Now;
      });
  if (HasTicket || Record.AdvicePending || !this->AdvisorCalls.mayStart(Now))
    return HasTicket;
  AdviceRequest Request{
      .Job = Waiting.Job->Spec.Id,
      .Occurrence = Waiting.Occurrence,
      .Step = Waiting.Step,
      .Candidates = this->adviceCandidates(Record, Waiting.Queue->Pool),
      .TicketValidity = Waiting.Queue->Advisor.TicketValidity};
  if (Request.Candidates.empty())
    return false;
  const AdvisorTimings &Advisor = Waiting.Queue->Advisor;
  Request.Cost = Advisor.PerCall +
                 Advisor.PerUpstream * std::int64_t(Request.Candidates.size());
  Record.AdvicePending = true;
  const auto [Number, Limit] =
      this->AdvisorCalls.recordStart(Request.Cost, Now);
  Request.Number = Number;
  Request.Timeout = Limit;
  this->Commands.push_back(std::move(Request));
  return false;
}

StepRecord *Scheduler::Impl::stepOf(const AdviceRequest &Request) {
  JobRecord *Job = this->job(Request.Job);
  if (!Job)
    return nullptr;
  const auto Found = Job->Occurrences.find(Request.Occurrence);
  return Found == Job->Occurrences.end()
             ? nullptr
             : &Found->second.Steps[std::size_t(Request.Step)];
}

void Scheduler::handleAdvice(const AdviceRequest &Request,
                             const std::map<UpstreamId, std::string> &Tickets,
                             Duration Validity, Instant Now) {
  this->Inner->AdvisorCalls.recordAnswer(Request.Number, Now);
  if (Validity == Duration::zero())
    Validity = Request.TicketValidity;
  StepRecord *Record = this->Inner->stepOf(Request);
  if (!Record)
    return;
  Record->AdvicePending = false;
  // What the advisor admits to a step does not change.
  for (const UpstreamId &Id : Request.Candidates)
    if (!Tickets.contains(Id))
      Record->NotAdmitted.insert(Id);
  for (const auto &[Id, Ticket] : Tickets) {
    Record->NotAdmitted.erase(Id);
    Record->Tickets[Id] = {Ticket, Now + Validity - TicketMargin};
  }
}

void Scheduler::handleAdviceFailure(const AdviceRequest &Request,
                                    AdviceFailure Failure, Instant Now) {
  this->Inner->AdvisorCalls.recordFailure(Request.Number, Failure, Now);
  if (StepRecord *Record = this->Inner->stepOf(Request))
    Record->AdvicePending = false;
}

} // namespace sardinerill::site
