#pragma once

#include "sardinerill/base/clock.h"
#include "sardinerill/base/errors.h"
#include "sardinerill/base/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

/// \file
/// The zones that operators are evacuating.
///
/// Load: a few requests a day. Information about them arrives from the change
/// feed, from full reads, which can be some seconds old after the table has
/// lost its history, and from other daemons, in any order. Versions of the
/// table decide which information is newer.

namespace sardinerill::site {

/// A row that requests an evacuation, or its removal, as read from the table.
struct EvacuationRow {
  ZoneId Zone;
  std::int64_t Version = 0; ///< Of the row, or of its removal.
  bool Requested = true;    ///< False: the row was removed.
  friend bool operator==(const EvacuationRow &,
                         const EvacuationRow &) = default;
};

/// What is known about the evacuation of one zone.
struct ZoneEvacuation {
  ZoneId Zone;
  bool Requested = false; ///< False: it was withdrawn.
  /// Version of the row; tells a request from one that is made after its
  /// removal.
  std::int64_t RequestVersion = 0;
  /// Highest version of the table at which this was the state.
  std::int64_t KnownAt = 0;
  Instant Since{}; ///< When this daemon learned of the request or its removal.
  friend bool operator==(const ZoneEvacuation &,
                         const ZoneEvacuation &) = default;
};

class ZoneEvacuations {
public:
  /// Applies rows and removals of the change feed.
  /// \returns the zones whose state changed, or that have a new request.
  std::vector<ZoneEvacuation> applyChanges(std::span<const EvacuationRow> Rows,
                                           Instant Now);
  /// Applies all rows that exist at \p TableVersion. A request that is not
  /// among them has been withdrawn.
  /// \returns as applyChanges().
  std::vector<ZoneEvacuation> applyFullRead(std::span<const EvacuationRow> Rows,
                                            std::int64_t TableVersion,
                                            Instant Now);
  /// Applies what another daemon knows; see known().
  /// \returns as applyChanges().
  std::vector<ZoneEvacuation>
  applyPeerState(std::span<const ZoneEvacuation> States, Instant Now);

  bool isEvacuated(const ZoneId &Zone) const;
  /// \returns the zones that are being evacuated.
  std::set<ZoneId> zones() const;
  /// \returns the state of all zones that are being evacuated or were until
  /// recently.
  std::vector<ZoneEvacuation> known() const;

private:
  /// Replaces what is known if \p Next is newer.
  void apply(ZoneEvacuation Next, Instant Now,
             std::vector<ZoneEvacuation> &Changes);
  /// Drops the oldest withdrawn requests beyond MaxWithdrawn.
  void limitWithdrawn();

  std::map<ZoneId, ZoneEvacuation> States;
  /// Newest version of a full read, which says something about every zone, also
  /// about those that are not in States.
  std::int64_t ReadThrough = 0;
};

/// Why no task may be started.
enum class StartHold {
  None,
  NotInformed, ///< The operators' rows have never been read.
  Stale,       ///< The table answers, but the rows could not be read recently.
};

/// Whether what a daemon knows of the operators' rows permits to start tasks.
class OperatorRowsAge {
public:
  /// Longest time without a read of the rows, while the table answers, after
  /// which nothing is started: half of the 5 s within which an evacuation must
  /// be in force, and more than two long polls of 1 s.
  static constexpr milliseconds MaxAge{2500};

  /// Records a successful read that shows the rows as they were at \p AsOf or
  /// later; see answerTime().
  void recordRead(Instant AsOf);
  /// \returns a time at which the answer to a read was still true. The table
  /// answers a long poll without changes only when its wait is over, so that
  /// one lost answer in a row of polls does not make the rows stale.
  /// \param Unchanged whether it showed no change; false for other reads.
  static Instant answerTime(Instant SentAt, Duration Wait, bool Unchanged,
                            Instant Now);
  /// Records that another daemon that had read the rows gave its state, on a
  /// question sent at \p SentAt.
  void recordPeerState(Instant SentAt);
  /// Ends the wait for the other daemons that a new process asks: all have
  /// answered, or can't be reached.
  void endQuestions() { this->QuestionsEnded = true; }
  /// \returns whether the rows were read or obtained from another daemon.
  bool isInformed() const { return this->HasRead || this->HasPeerState; }
  /// \param TableReachable whether the table answers. While it does not, the
  /// last known state stays in force.
  StartHold startHold(Instant Now, bool TableReachable) const;

private:
  bool HasRead = false;
  bool HasPeerState = false;
  bool QuestionsEnded = false;
  Instant InformedAt{};
};

/// Encodes \p States for another daemon.
std::string encodeEvacuations(const std::vector<ZoneEvacuation> &States);
/// Decodes the answer of another daemon. ZoneEvacuation::Since is not part of
/// it, because clocks differ.
Result<std::vector<ZoneEvacuation>> decodeEvacuations(const std::string &Text);

} // namespace sardinerill::site
