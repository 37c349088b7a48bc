#include "configurationfreshness.h"

#include <algorithm>
#include <charconv>

namespace sardinerill::site {

void ConfigurationFreshness::recordInForce(std::int64_t Version) {
  this->InForce = std::max(this->InForce, Version);
  this->Newest = std::max(this->Newest, this->InForce);
  while (!this->Named.empty() && this->Named.front().first <= this->InForce)
    this->Named.pop_front();
}

PeerVersionKind ConfigurationFreshness::recordPeerAnswer(std::string_view Text,
                                                         Instant Now) {
  if (Text.empty())
    return PeerVersionKind::NotNewer;
  std::int64_t Version = 0;
  const char *const TextEnd = Text.data() + Text.size();
  const auto [End, Error] = std::from_chars(Text.data(), TextEnd, Version);
  if (Error != std::errc() || End != TextEnd || Version < 0)
    return PeerVersionKind::Rejected;
  // Without a configuration all calls are refused anyway, and there is nothing
  // to measure the step from.
  if (this->InForce == 0 || Version <= this->InForce ||
      Version == this->Disproved)
    return PeerVersionKind::NotNewer;
  if (Version - this->InForce > MaxVersionStep)
    return PeerVersionKind::Rejected;
  const bool WasBehind = this->isBehind(Now);
  this->LastNamedAt = Now;
  if (Version <= this->Newest) {
    if (!WasBehind)
      this->Named.assign({{Version, Now}});
    return PeerVersionKind::Repeated;
  }
  // What was named long ago no longer counts.
  if (!WasBehind)
    this->Named.clear();
  this->Newest = Version;
  this->FirstNamedAt = Now;
  if (this->Named.size() < MaxNamed)
    this->Named.emplace_back(Version, Now);
  return PeerVersionKind::Newer;
}

bool ConfigurationFreshness::recordTableAnswer(Instant SentAt) {
  if (this->Newest <= this->InForce ||
      SentAt - this->FirstNamedAt < MaxTableAge)
    return false;
  this->Disproved = this->Newest;
  this->Newest = this->InForce;
  this->Named.clear();
  return true;
}

Duration ConfigurationFreshness::timeBehind(Instant Now) const {
  return this->isBehind(Now) && !this->Named.empty()
             ? Now - this->Named.front().second
             : Duration::zero();
}

bool ConfigurationFreshness::isBehind(Instant Now) const {
  return this->Newest > this->InForce &&
         Now - this->LastNamedAt < MaxTimeSinceNamed;
}

} // namespace sardinerill::site
