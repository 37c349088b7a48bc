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
Scheduler::Impl::adviceCandidates(const PoolId &Pool) const {
  std::vector<UpstreamId> Candidates;
  const auto Found = this->ByPool.find(Pool);
  if (Found == this->ByPool.end())
    return Candidates;
  for (const UpstreamRecord *Each : Found->second)
    if (Each->acceptsTasks() && Candidates.size() < MaxCandidates)
      Candidates.push_back(Each->Report.Id);
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
  AdviceRequest Request{.Job = Waiting.Job->Spec.Id,
                        .Occurrence = Waiting.Occurrence,
                        .Step = Waiting.Step,
                        .Candidates =
                            this->adviceCandidates(Waiting.Queue->Pool),
                        .Timeout = this->AdvisorCalls.timeout()};
  if (Request.Candidates.empty())
    return false;
  Record.AdvicePending = true;
  this->AdvisorCalls.recordStart();
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
  this->Inner->AdvisorCalls.recordAnswer();
  StepRecord *Record = this->Inner->stepOf(Request);
  if (!Record)
    return;
  Record->AdvicePending = false;
  for (const auto &[Id, Ticket] : Tickets)
    Record->Tickets[Id] = {Ticket, Now + Validity - TicketMargin};
}

void Scheduler::handleAdviceFailure(const AdviceRequest &Request, Instant Now) {
  this->Inner->AdvisorCalls.recordFailure(Now);
  if (StepRecord *Record = this->Inner->stepOf(Request))
    Record->AdvicePending = false;
}

} // namespace sardinerill::site
