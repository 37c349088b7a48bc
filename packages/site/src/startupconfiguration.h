#pragma once

#include <algorithm>
#include <cstdint>

/// \file
/// Whether a new process may use the configuration that it has read. The table
/// can serve reads that are some seconds old after it has lost its history, and
/// a new process does not know which version its predecessor had used: an older
/// one may hold keys that have been withdrawn since.

namespace sardinerill::site {

class StartupConfiguration {
public:
  /// Records the version of a configuration read from the table.
  void recordRead(std::int64_t Version) {
    this->ReadVersion = std::max(this->ReadVersion, Version);
  }
  /// Records the version that another daemon uses; 0 if it has none.
  void recordPeer(std::int64_t Version) {
    this->PeerVersion = std::max(this->PeerVersion, Version);
  }
  /// Ends the questions to other daemons: all have answered, or cannot be
  /// reached. A daemon that is cut off serves what it can.
  void endQuestions() { this->QuestionsEnded = true; }
  /// Accepts what was read although another daemon uses a newer version.
  void giveUp() { this->GivenUp = true; }

  /// \returns whether a peer uses a newer configuration than was read.
  bool needsNewerRead() const {
    return !this->GivenUp && this->ReadVersion < this->PeerVersion;
  }
  std::int64_t peerVersion() const { return this->PeerVersion; }
  /// \returns whether calls may be handled by the configuration that was read.
  bool mayServe() const {
    return this->ReadVersion > 0 && this->QuestionsEnded &&
           !this->needsNewerRead();
  }

private:
  std::int64_t ReadVersion = 0;
  std::int64_t PeerVersion = 0;
  bool QuestionsEnded = false;
  bool GivenUp = false;
};

} // namespace sardinerill::site
