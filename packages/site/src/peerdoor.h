#pragma once

#include "async.h"
#include "jobtable.h"

#include "sardinerill/base/errors.h"
#include "sardinerill/http/httpclient.h"
#include "sardinerill/scheduling/schedulingtypes.h"
#include "sardinerill/site/istore.h"

#include <optional>

/// \file
/// What daemons ask of each other.

namespace sardinerill::site {

HttpRequest aliveRequest();
HttpRequest releasedRequest();

/// Asks the holder about jobs.
class HolderClient {
public:
  HolderClient(boost::asio::any_io_executor Executor, Endpoint Where);

  /// \returns the state, JobNotFound if the holder does not know the job, or
  /// PlatformUnavailable if it can't say.
  Async<Result<JobState>> stateOf(JobId Job, Duration Limit);
  Async<Result<int>> pendingJobs(QueueId Queue, Duration Limit);
  /// Passes on a change; one that is lost is read from the table later.
  Async<void> tell(std::string Change, Duration Limit);
  const Endpoint &where() const { return this->Http.peer(); }

private:
  HttpClient Http;
};

/// What the peer door needs of its daemon.
struct PeerDoorParts {
  IStore &Store;
  std::string Incarnation;
  std::function<bool()> Holds;
  std::function<std::optional<JobState>(const JobId &)> StateOf;
  std::function<int(const QueueId &)> PendingJobs;
  std::function<void(const JobChange &)> Hear;
  std::function<void()> OwnershipReleased;
  std::function<std::string()> Figures;
};

/// Answers one request of a peer, or of who collects metrics.
Async<HttpResponse> answerPeer(const PeerDoorParts &Parts, HttpRequest Request);

/// A row for each daemon, so that the others find it.
class PeerDirectory {
public:
  /// \param LooksNeeded looks at the list until it is taken for complete.
  PeerDirectory(IStore &Store, std::string Name, Endpoint Own, double Strength,
                int LooksNeeded)
      : Store(Store), Name(std::move(Name)), Own(Own), Strength(Strength),
        LooksNeeded(LooksNeeded) {}

  /// Registers this daemon and keeps the list of the others fresh.
  Async<void> run();
  const std::vector<Endpoint> &peers() const { return this->Peers; }
  /// \returns whether a much stronger daemon is known, or may still show up.
  bool mayBeOutranked() const {
    return this->Looks < this->LooksNeeded || this->Stronger > 0;
  }

private:
  Async<bool> registerSelf();
  Async<void> refresh();

  IStore &Store;
  std::string Name;
  Endpoint Own;
  double Strength;
  int LooksNeeded;
  int Looks = 0; ///< That were answered.
  std::vector<Endpoint> Peers;
  int Stronger = 0;
};

} // namespace sardinerill::site
