#pragma once

#include "async.h"
#include "jobtable.h"

#include "sardinerill/base/adaptivetimelimit.h"
#include "sardinerill/base/errors.h"
#include "sardinerill/configuration/configurationdigest.h"
#include "sardinerill/http/httpclient.h"
#include "sardinerill/scheduling/schedulingtypes.h"
#include "sardinerill/site/istore.h"

#include <optional>

/// \file
/// Requests between daemons, and the directory through which they find each
/// other.

namespace sardinerill::site {

HttpRequest aliveRequest();
HttpRequest handoverRequest();
/// Asks for the version of the configuration that a daemon uses.
HttpRequest configurationVersionRequest();
/// \returns the version; none if the daemon did not answer with one.
std::optional<std::int64_t>
decodeConfigurationVersion(const HttpResponse &Answer);

/// Asks for what the configuration with \p Digest lacks, and for the other rows
/// of operators.
HttpRequest operatorRowsRequest(const ConfigurationDigest &Digest);

/// \returns the version of the configuration that the answering daemon uses, as
/// its answer names it; empty if it names none.
std::string announcedConfigurationVersion(const HttpResponse &Answer);

/// Asks for the evacuations that a daemon knows of.
HttpRequest evacuationsRequest();

/// Client for the holder's peer API.
class HolderClient {
public:
  /// \param OnAnswer called with each answer; may be empty.
  HolderClient(boost::asio::any_io_executor Executor, Endpoint Peer,
               PeerAnswerObserver OnAnswer);

  /// \returns the state, JobNotFound if the holder does not have the job, or
  /// PlatformUnavailable if the holder gave no valid answer.
  Async<Result<JobState>> stateOf(JobId Job, Duration Timeout);
  Async<Result<int>> pendingJobs(QueueId Queue, Duration Timeout);
  /// Notifies the holder of a change. A lost notification does no harm, since
  /// the holder reads the change from the table later.
  /// \returns the body of the answer, an encoded summary of the holder's load;
  /// empty if there is none.
  Async<std::string> notifyChange(std::string Change, Duration Timeout);
  const Endpoint &endpoint() const { return this->Http.peer(); }

private:
  Async<tl::expected<HttpResponse, HttpCallError>> call(HttpRequest Request,
                                                        Duration Timeout);

  HttpClient Http;
  PeerAnswerObserver OnAnswer;
};

/// Objects and callbacks of the daemon that the peer API uses.
struct PeerApiDeps {
  IStore &Store;
  std::string Incarnation;
  std::function<bool()> IsActiveHolder;
  std::function<std::optional<JobState>(const JobId &)> StateOf;
  std::function<int(const QueueId &)> PendingJobs;
  std::function<void(const JobChange &)> OnChangeNotice;
  /// \returns the encoded summary of the load, if this daemon is the holder and
  /// has one; otherwise an empty text.
  std::function<std::string()> EncodedLoad;
  std::function<void()> OnOwnershipAvailable;
  /// \returns the version of the configuration in use; 0 if there is none.
  std::function<std::int64_t()> ConfigurationVersion;
  /// \returns what another daemon's configuration lacks, encoded; nothing if
  /// this daemon has no newer one, or has not read the other rows.
  std::function<std::optional<std::string>(const ConfigurationDigest &)>
      MissingOperatorRows;
  /// \returns the evacuations that this daemon knows of, encoded; nothing if it
  /// has not read the operators' rows.
  std::function<std::optional<std::string>()> Evacuations;
  std::function<std::string()> RenderMetrics;
};

/// Handles a request from a peer or from a metrics collector. The answer names
/// the version of the configuration in use, if there is one.
Async<HttpResponse> handlePeerRequest(const PeerApiDeps &Deps,
                                      HttpRequest Request);

/// Registers this daemon in the table and lists the others registered there.
class PeerDirectory {
public:
  /// \param RefreshesNeeded successful reads after which the list is considered
  /// complete.
  PeerDirectory(IStore &Store, std::string Name, Endpoint OwnEndpoint,
                double Capacity, int RefreshesNeeded)
      : Store(Store), Name(std::move(Name)), OwnEndpoint(OwnEndpoint),
        Capacity(Capacity), RefreshesNeeded(RefreshesNeeded) {}

  /// Registers this daemon, then refreshes the list of the others periodically.
  Async<void> run();
  const std::vector<Endpoint> &peers() const { return this->Peers; }
  /// \returns whether the list has been read.
  bool hasList() const { return this->Refreshes > 0; }
  /// \returns whether a daemon with much more capacity is listed, or the list
  /// may still be incomplete.
  bool mayHaveLargerPeer() const {
    return this->Refreshes < this->RefreshesNeeded || this->LargerPeers > 0;
  }

private:
  Async<bool> registerSelf();
  Async<void> refresh();

  IStore &Store;
  std::string Name;
  Endpoint OwnEndpoint;
  double Capacity;
  int RefreshesNeeded;
  int Refreshes = 0; ///< Number of successful reads of the list.
  static constexpr milliseconds ListTimeout{900};
  static constexpr milliseconds MaxListTimeout{3600};
  AdaptiveTimeLimit ListLimit{ListTimeout, MaxListTimeout};
  std::vector<Endpoint> Peers;
  int LargerPeers = 0;
};

} // namespace sardinerill::site
