#pragma once

#include "sardinerill/base/metrics.h"
#include "sardinerill/site/callercalls.h"
#include "sardinerill/site/isitesource.h"
#include "sardinerill/site/istore.h"
#include "sardinerill/site/iupstreamclient.h"
#include "sardinerill/site/ivmcontrol.h"
#include "sardinerill/site/sitesettings.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

/// \file
/// The daemon of an entry VM. It accepts jobs, and the daemon that holds the
/// site's ownership also schedules them.

namespace sardinerill::site {

/// Interfaces and codecs through which the daemon uses the platform.
struct PlatformAdapters {
  std::unique_ptr<IStore> Store;
  std::unique_ptr<ISiteSource> Source;
  std::unique_ptr<IUpstreamClientFactory> Upstreams;
  std::unique_ptr<ISiteVmControl> Vms;
  std::unique_ptr<IPlacementAdvisor>
      Advisor; ///< Null if no queue needs advice.
  JobDecoder DecodeJob = nullptr;
  CallerCall (*DecodeCall)(const HttpRequest &) = nullptr;
  HttpResponse (*EncodeReply)(const Result<CallerReply> &) = nullptr;
  std::function<Result<SiteSettings>()> ReloadSettings;
};

class SiteDaemon {
public:
  SiteDaemon(boost::asio::io_context &Context, SiteSettings Settings,
             PlatformAdapters Adapters, std::unique_ptr<Metrics> Stats);
  ~SiteDaemon();

  /// Runs until a graceful shutdown has completed.
  void run();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace sardinerill::site
