#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/errors.h"
#include "sardinerill/ownership/voluntaryhandover.h"

#include <cstdint>
#include <optional>
#include <string>

/// \file
/// Lease that makes one daemon the holder, which schedules the site's jobs and
/// sends commands to upstreams. It is stored as one row of the table. Lease
/// times are measured on a clock that keeps counting during system suspension.
///
/// Each claim increases the fencing token, and upstreams that have seen the new
/// token reject the previous holder. The next holder therefore does not wait
/// for the previous lease to expire, except for upstreams to which it cannot
/// present the new token.

namespace sardinerill::site {

/// The lease row as stored in the table.
struct OwnershipRow {
  /// Name of the daemon that holds the lease.
  std::string Holder;
  /// Identifies the process of that daemon.
  std::string Incarnation;
  /// Address at which other daemons reach the holder.
  std::string PeerAddress;
  /// Number of claims so far; not the fencing token, which is the version of
  /// the row that the claim wrote.
  int Term = 0;
  /// The holder hands over: it stays active until the next holder claims the
  /// row.
  bool Leaving = false;
  /// Capacity of a holder that only offers its lease (Leaving is set too) and
  /// works on if nobody takes it. None if it stops, and in rows of builds that
  /// did not store it.
  std::optional<double> OfferingCapacity;
  /// The holder has released the lease and sends no more commands.
  bool Released = false;
  /// The holder may send commands to VMs: the pause after the commands of
  /// earlier holders is over.
  bool CommandsVms = false;
  /// Time, from when this row was sent, for which holders before this one may
  /// still send commands. A holder that is cut off outlives the process that
  /// succeeded it, and the next one must know of both.
  Duration EarlierCommandsFor{};
  friend bool operator==(const OwnershipRow &, const OwnershipRow &) = default;
};

/// Encodes the row as JSON for storage in the table.
std::string encodeOwnership(const OwnershipRow &Row);
Result<OwnershipRow> decodeOwnership(const std::string &Text);

/// Durations and intervals of the lease.
struct OwnershipTimings {
  /// Lease duration after a renewal. Other daemons assume that the holder may
  /// send commands until the lease ends.
  Duration LeaseDuration = milliseconds(3600);
  /// Safety margin: the holder stops sending commands this long before the
  /// lease ends as measured from its last renewal.
  Duration LeaseMargin = milliseconds(300);
  /// Time after its last renewal during which the holder accepts new jobs. It
  /// starts no job stored later, so the next holder need not wait for the lease
  /// to end before it starts such a job. Must be shorter than HolderTimeout and
  /// RefusedHolderTimeout. Covers the interval between two renewals plus a
  /// renewal that takes 0.6 s because the table is slow.
  Duration AcceptanceWindow = milliseconds(1100);
  /// Time after its last renewal during which the holder sends commands to VMs.
  /// Shorter than the lease, because the VM control does not compare tokens:
  /// the next holder has to pause after the latest possible command of this
  /// one.
  Duration VmCommandWindow = milliseconds(1100);
  /// Longest time from sending a command to a VM until the VM control has it.
  Duration VmCommandDelivery = milliseconds(200);
  /// Interval between two renewals by the holder.
  Duration RenewalInterval = milliseconds(300);
  /// Interval at which other daemons poll the row.
  Duration PollInterval = milliseconds(500);
  /// Interval of these polls while a renewal is overdue.
  Duration OverduePollInterval = milliseconds(200);
  /// A renewal is overdue if the row has not changed for this long.
  Duration RenewalOverdue = milliseconds(800);
  /// Pause before a failed renewal is sent again.
  Duration RenewalRetryPause = milliseconds(100);
  /// The row may be claimed if successful reads show no renewal for this long.
  Duration HolderTimeout = milliseconds(2000);
  /// Replaces HolderTimeout if the holder does not answer or its address
  /// refuses connections: it has probably stopped or is cut off.
  Duration SilentHolderTimeout = milliseconds(1500);
  /// Replaces HolderTimeout if the holder answers: it runs, and renews as soon
  /// as it reaches the table.
  Duration AnsweringHolderTimeout = milliseconds(3000);
  /// A longer gap between two successful reads restarts the measurement for
  /// these timeouts.
  Duration MaxReadGap = milliseconds(1200);
  /// After such a gap, a row that has not changed for SilentHolderTimeout, gap
  /// included, may be claimed if it does not change for this long either and
  /// the holder does not answer. Covers the timeout of a renewal that was under
  /// way when the table returned, and one more renewal.
  Duration ReturnGrace = milliseconds(1200);
};

/// What the latest attempt to reach the holder at its address showed.
enum class HolderContact { Unknown, Answers, Refuses, Silent };

/// Whether the previous holder may still send commands.
enum class PredecessorState {
  /// There was none, its process has ended, or it has released the lease.
  None,
  /// It may still send commands to upstreams that have not seen a newer token.
  MayBeActive,
};

/// Tracks the lease row while another daemon holds it.
class OwnershipObserver {
public:
  explicit OwnershipObserver(OwnershipTimings Timings) : Timings(Timings) {}

  /// Handles a successful read of the row.
  /// \param TableVersion newest version of the whole table at the time of the
  /// reply; 0 if unknown.
  /// \param KnownVersion newest version of the table that this daemon had seen
  /// when it sent the read. A read may be seconds old.
  void observe(std::int64_t ReadVersion, const OwnershipRow &ReadRow,
               Instant RequestedAt, Instant RepliedAt,
               std::int64_t TableVersion = 0, std::int64_t KnownVersion = 0);
  /// Handles a successful read that found no row.
  void observeMissingRow();
  /// Records that process \p Incarnation has ended, because another process
  /// answers at the holder's address.
  void markHolderGone(const std::string &Incarnation);
  /// Records the outcome of an attempt to reach the holder. Whatever it is, the
  /// holder may still be alive behind a network partition.
  void recordContact(HolderContact Outcome) { this->Contact = Outcome; }
  /// \returns whether a renewal is overdue.
  bool renewalIsOverdue(Instant Now) const;
  /// \returns whether the holder's process has ended and its daemon runs
  /// another one.
  bool holderWasRestarted() const { return this->HolderEnded; }

  /// \returns whether \p Daemon may claim the row now. What it is only matters
  /// if the lease is offered; a holder that offers and falls silent is
  /// succeeded like any other.
  bool mayClaim(const Claimant &Daemon = {}) const;
  /// \returns whether the previous holder may still send commands.
  PredecessorState predecessorState() const;
  /// \returns an upper bound for the end of the previous holder's lease.
  Instant predecessorLeaseEnd() const {
    return this->FirstSeenAt + this->Timings.LeaseDuration;
  }
  /// \returns an upper bound for the time at which any earlier holder sends a
  /// command, not only the latest one.
  /// \param ClaimSentAt when the claim that succeeds them was sent.
  Instant earlierCommandsUntil(Instant ClaimSentAt) const;
  /// \returns when a daemon that claims the row now may send its first command
  /// to a VM.
  /// \param OwnName name of that daemon.
  /// \param Pause minimum time between commands of different holders to one VM.
  Instant vmCommandsFrom(const std::string &OwnName, Duration Pause) const;
  /// \returns the table version after which the previous holder has accepted no
  /// jobs; 0 while it may still accept some.
  std::int64_t lastInheritedVersion() const {
    return this->LastInheritedVersion;
  }
  /// \returns the row version that a claim must expect; 0 if there is no row.
  std::int64_t version() const { return this->Version; }
  const OwnershipRow &row() const { return this->Row; }
  bool hasRow() const { return this->HasRead && this->Version != 0; }

private:
  OwnershipTimings Timings;
  OwnershipRow Row;
  std::int64_t Version = 0;
  bool HasRead = false;
  bool HolderEnded = false;
  HolderContact Contact = HolderContact::Unknown;
  std::int64_t LastInheritedVersion = 0;
  std::int64_t NewestTableVersion = 0; ///< That any read has shown.
  /// When the current row version was first read.
  Instant FirstSeenAt{};
  /// Upper bound for the commands of holders before the one in the row.
  Instant BeforePredecessorUntil{};
  /// Since when reads have shown the current holder as leaving.
  std::optional<Instant> LeavingSeenAt;
  /// Since when reads with no gap above MaxReadGap have shown the same version.
  Instant UnchangedSince{};
  Instant LastRequestedAt{};
  Instant LastRepliedAt{};
};

/// State of the lease on the daemon that holds it.
class OwnershipLease {
public:
  /// \param VmCommandsFrom when the first command to a VM may be sent.
  OwnershipLease(OwnershipTimings Timings, std::int64_t Token,
                 Instant ClaimSentAt, Instant VmCommandsFrom = {})
      : Timings(Timings), Token(Token), RenewedAt(ClaimSentAt),
        VmCommandsFrom(VmCommandsFrom) {}

  /// Extends the lease after a renewal was confirmed.
  /// \param SentAt when that renewal was sent.
  void recordRenewal(Instant SentAt);
  /// Starts the handover: the next holder may claim at any time from now on, so
  /// no more jobs are accepted.
  void beginHandover() { this->Leaving = true; }
  /// The leaving mark was replaced in the row before another daemon claimed it.
  void cancelHandover() { this->Leaving = false; }
  /// Marks the lease as lost: another daemon has claimed the row.
  void markSuperseded() { this->Lost = true; }

  /// \returns whether the lease still permits sending commands to upstreams.
  bool maySendCommands(Instant Now) const;
  /// \returns whether new jobs may be accepted. While this is true, no next
  /// holder has claimed the row, so a job that was read by then was stored
  /// before the next holder's claim.
  bool mayAdmitJobs(Instant Now) const;
  /// \returns whether a command may be sent to a VM now.
  bool mayCommandVms(Instant Now) const;
  /// \returns whether the pause after the commands of earlier holders is over.
  bool vmPauseIsOver(Instant Now) const { return Now >= this->VmCommandsFrom; }
  bool isLost() const { return this->Lost; }
  std::int64_t token() const { return this->Token; }

private:
  OwnershipTimings Timings;
  std::int64_t Token;
  Instant RenewedAt;
  Instant VmCommandsFrom;
  bool Lost = false;
  bool Leaving = false;
};

} // namespace sardinerill::site
