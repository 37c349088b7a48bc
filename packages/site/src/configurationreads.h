#pragma once

#include "sardinerill/base/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

/// \file
/// Which read of the operators' rows comes next.
///
/// The list of changes has each version of the configuration in full. A daemon
/// that has missed several, for example while the table turned it away, would
/// receive all of them one after the other, hundreds of kilobytes each; the
/// table itself holds only the newest one.

namespace sardinerill::site {

/// A read of all rows, or a wait for changes.
struct ConfigurationRead {
  /// Version of the table after which changes are asked for; none: all rows
  /// are read.
  std::optional<std::int64_t> ChangesAfter;
  Duration Wait{}; ///< For changes.

  bool readsAll() const { return !this->ChangesAfter; }
  friend bool operator==(const ConfigurationRead &,
                         const ConfigurationRead &) = default;
};

class ConfigurationReads {
public:
  /// \param PollWait how long a wait for changes lasts.
  explicit ConfigurationReads(Duration PollWait) : PollWait(PollWait) {}

  /// \param IsBehind whether a newer configuration than the one in force is
  /// known to exist.
  ConfigurationRead next(bool IsBehind) const {
    if (!this->Position || (IsBehind && !this->HasReadAll))
      return {};
    // After a failed read, one without waiting tells soonest what was missed.
    return {.ChangesAfter = this->Position,
            .Wait = this->HasFailed ? Duration{} : this->PollWait};
  }
  /// Records that \p Read returned the state at \p Version of the table.
  void recordAnswer(const ConfigurationRead &Read, std::int64_t Version) {
    this->HasFailed = false;
    // A second read of all rows would only repeat what the first returned.
    this->HasReadAll = Read.readsAll();
    this->advance(Version);
  }
  void recordFailure() {
    this->HasFailed = true;
    this->HasReadAll = false;
  }
  /// Records that all changes up to \p Version are known.
  void advance(std::int64_t Version) {
    this->Position = std::max(this->Position.value_or(Version), Version);
  }
  /// \returns the version of the table up to which all changes are known; none
  /// if nothing was read.
  std::optional<std::int64_t> position() const { return this->Position; }
  /// Begins anew with a read of all rows.
  void restart() { this->Position.reset(); }

private:
  Duration PollWait;
  std::optional<std::int64_t> Position; ///< Of the table.
  bool HasFailed = false;               ///< The last read.
  bool HasReadAll = false;              ///< The last read, with success.
};

} // namespace sardinerill::site
