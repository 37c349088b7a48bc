#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/errors.h"

#include <cstdint>
#include <string>

/// \file
/// Who may give orders: a row in the table with a holder, judged by time that
/// also counts suspension.
///
/// A claim raises the fencing token, and upstreams that have seen it refuse the
/// last holder. So a claimant need not wait until the last lease has run out;
/// it waits only where its token cannot reach.

namespace sardinerill::site {

/// The stored row.
struct OwnershipRow {
  std::string Holder;      ///< Name of the daemon.
  std::string Incarnation; ///< Of its process.
  std::string PeerAddress; ///< Where other daemons reach it.
  int Term = 0;            ///< Counts the claims.
  bool Leaving = false;  ///< Asks for a successor; goes on until there is one.
  bool Released = false; ///< Given up as planned: its orders are over.
  friend bool operator==(const OwnershipRow &, const OwnershipRow &) = default;
};

std::string encodeOwnership(const OwnershipRow &Row);
Result<OwnershipRow> decodeOwnership(const std::string &Text);

struct OwnershipTimes {
  /// A holder gives no orders later than this after its last renewal.
  Duration Lease = milliseconds(3600);
  /// Kept between the end of a lease as its holder and as others see it.
  Duration Margin = milliseconds(300);
  /// A holder takes on no new jobs later than this after its last renewal, so
  /// that a successor knows what it can't have started; below both silences.
  /// It covers a renewal of 0.6 s, as with a slow table, after the time between
  /// two.
  Duration TakeOn = milliseconds(1100);
  /// Time between renewals.
  Duration Renewal = milliseconds(300);
  /// Time between two looks of a daemon at a row held by another.
  Duration Look = milliseconds(500);
  /// A row unchanged for this long, through answered reads, may be claimed.
  Duration Silence = milliseconds(2000);
  /// The same where the holder's address refuses connections.
  Duration SilenceIfRefused = milliseconds(1700);
  /// Longest gap between two answered reads that still prove silence.
  Duration ReadGap = milliseconds(1200);
};

/// What the last holder may still be doing.
enum class Predecessor {
  None,     ///< There was none, or it is certainly gone.
  MayOrder, ///< It may give orders where no newer token was seen.
};

/// A daemon's view of a row held by another.
class OwnershipWatch {
public:
  explicit OwnershipWatch(OwnershipTimes Times) : Times(Times) {}

  /// Takes in an answered read.
  /// \param Newest version of the whole store as of the answer.
  void observe(std::int64_t Version, const OwnershipRow &Row, Instant AskedAt,
               Instant AnsweredAt, std::int64_t Newest = 0);
  /// There is no row yet.
  void observeAbsent();
  /// Another process answers in the place of the holder.
  void holderIsGone(const std::string &Incarnation);
  /// Whether the holder's address refuses connections. It may be cut off.
  void holderRefuses(bool Refuses) { this->Refuses = Refuses; }

  /// \returns whether the row may be claimed now.
  bool mayClaim() const;
  Predecessor predecessor() const;
  /// \returns until when a predecessor that may order does so at the latest.
  Instant predecessorUntil() const {
    return this->FirstSeenAt + this->Times.Lease;
  }
  /// \returns the version after which the predecessor has taken on no jobs; 0
  /// while it may still do so.
  std::int64_t quietVersion() const { return this->Quiet; }
  /// \returns the version that a claim has to expect; 0 if there is no row.
  std::int64_t version() const { return this->Version; }
  const OwnershipRow &row() const { return this->Row; }
  bool hasRow() const { return this->Known && this->Version != 0; }

private:
  OwnershipTimes Times;
  OwnershipRow Row;
  std::int64_t Version = 0;
  bool Known = false;
  bool Gone = false;
  bool Refuses = false;
  std::int64_t Quiet = 0;
  Instant FirstSeenAt{};    ///< The present version; it is no newer than that.
  Instant UnchangedSince{}; ///< The same, seen through answered reads.
  Instant LastAskedAt{};
  Instant LastAnsweredAt{};
};

/// A holder's view of its own row.
class HeldOwnership {
public:
  HeldOwnership(OwnershipTimes Times, std::int64_t Token, Instant ClaimSentAt)
      : Times(Times), Token(Token), RenewedAt(ClaimSentAt) {}

  /// \param SentAt when the renewal that is now confirmed was sent.
  void renewed(Instant SentAt);
  /// A successor may claim at any moment from now on.
  void leave() { this->Leaving = true; }
  /// Another daemon has claimed the row.
  void superseded() { this->Lost = true; }

  bool mayOrder(Instant Now) const;
  /// \returns whether a job that was read now is older than any claim.
  bool mayTakeOn(Instant Now) const;
  bool lost() const { return this->Lost; }
  std::int64_t token() const { return this->Token; }

private:
  OwnershipTimes Times;
  std::int64_t Token;
  Instant RenewedAt;
  bool Lost = false;
  bool Leaving = false;
};

} // namespace sardinerill::site
