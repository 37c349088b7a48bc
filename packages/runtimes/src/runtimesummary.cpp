#include "sardinerill/runtimes/runtimesummary.h"

#include "sardinerill/runtimes/runtimemodel.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <vector>

namespace sardinerill {

namespace {

using nlohmann::json;

constexpr int FormatVersion = 1;
/// Bound of a decoded weight or sum, far above what a model writes, so that
/// merging many summaries can't overflow.
constexpr std::int64_t MaxNumber = 1'000'000'000;
/// Bytes reserved for the map, the version and the head of the list.
constexpr std::size_t HeaderBytes = 32;

json encodeBins(const std::map<int, std::int64_t> &Bins) {
  json Row = json::array();
  for (const auto &[Bin, Weight] : Bins) {
    Row.push_back(Bin);
    Row.push_back(Weight);
  }
  return Row;
}

std::string malformed(const std::string &What) {
  return "run time summary: " + What;
}

/// Throws a json exception for a value of another type.
std::int64_t numberAt(const json &Row, std::size_t Index) {
  return Row.at(Index).get<std::int64_t>();
}

bool decodeBins(const json &Row, std::map<int, std::int64_t> &Bins) {
  if (!Row.is_array() || Row.size() % 2 != 0)
    return false;
  for (std::size_t Index = 0; Index < Row.size(); Index += 2) {
    const std::int64_t Bin = numberAt(Row, Index);
    const std::int64_t Weight = numberAt(Row, Index + 1);
    if (Bin < 0 || Bin >= std::int64_t(DecayingHistogram::BinCount) ||
        Weight <= 0 || Weight > MaxNumber)
      return false;
    Bins[int(Bin)] = Weight;
  }
  return true;
}

bool decodeOrganisations(const json &Row, RunTimeSummary::Entry &Entry) {
  if (!Row.is_array() || Row.size() % 3 != 0)
    return false;
  for (std::size_t Index = 0; Index < Row.size(); Index += 3) {
    const std::int64_t Weight = numberAt(Row, Index + 1);
    const std::int64_t SumLog = numberAt(Row, Index + 2);
    if (Weight <= 0 || Weight > MaxNumber || std::abs(SumLog) > MaxNumber)
      return false;
    Entry.Organisations[Row.at(Index).get<std::uint64_t>()] = {Weight, SumLog};
  }
  return true;
}

} // namespace

RunTimeSummary mergeSummaries(const RunTimeSummary &Left,
                              const RunTimeSummary &Right) {
  RunTimeSummary Merged = Left;
  for (const auto &[Key, Other] : Right.Entries) {
    RunTimeSummary::Entry &Entry = Merged.Entries[Key];
    Entry.LearnedAt = std::max(Entry.LearnedAt, Other.LearnedAt);
    for (const auto &[Bin, Weight] : Other.Durations)
      Entry.Durations[Bin] += Weight;
    for (const auto &[Bin, Weight] : Other.Ratios)
      Entry.Ratios[Bin] += Weight;
    for (const auto &[Organisation, Ratio] : Other.Organisations) {
      Entry.Organisations[Organisation].Weight += Ratio.Weight;
      Entry.Organisations[Organisation].SumLog += Ratio.SumLog;
    }
  }
  return Merged;
}

std::string encodeSummary(const RunTimeSummary &Summary, std::size_t MaxBytes) {
  std::vector<const std::pair<const std::uint64_t, RunTimeSummary::Entry> *>
      Newest;
  Newest.reserve(Summary.Entries.size());
  for (const auto &Each : Summary.Entries)
    Newest.push_back(&Each);
  std::ranges::sort(Newest, [](const auto *Left, const auto *Right) {
    return std::pair(Right->second.LearnedAt, Right->first) <
           std::pair(Left->second.LearnedAt, Left->first);
  });
  json Rows = json::array();
  std::size_t Bytes = HeaderBytes;
  for (const auto *Each : Newest) {
    const RunTimeSummary::Entry &Entry = Each->second;
    json Organisations = json::array();
    for (const auto &[Organisation, Ratio] : Entry.Organisations) {
      Organisations.push_back(Organisation);
      Organisations.push_back(Ratio.Weight);
      Organisations.push_back(Ratio.SumLog);
    }
    json Row{Each->first, Entry.LearnedAt, encodeBins(Entry.Durations),
             encodeBins(Entry.Ratios), std::move(Organisations)};
    Bytes += json::to_cbor(Row).size();
    if (Bytes > MaxBytes)
      break;
    Rows.push_back(std::move(Row));
  }
  const std::vector<std::uint8_t> Encoded =
      json::to_cbor(json{{"version", FormatVersion}, {"keys", Rows}});
  return {Encoded.begin(), Encoded.end()};
}

Result<RunTimeSummary> decodeSummary(const std::string &Encoded) {
  if (Encoded.size() > MaxSummaryBytes)
    return makeError(ErrorKind::BadRequest, malformed("too large"));
  try {
    const json Document = json::from_cbor(Encoded);
    const std::int64_t Version = Document.at("version").get<std::int64_t>();
    if (Version != FormatVersion)
      return makeError(ErrorKind::BadRequest,
                       malformed("format version " + std::to_string(Version) +
                                 " instead of " +
                                 std::to_string(FormatVersion)));
    RunTimeSummary Summary;
    for (const json &Row : Document.at("keys")) {
      RunTimeSummary::Entry Entry;
      Entry.LearnedAt = Row.at(1).get<std::uint64_t>();
      if (!decodeBins(Row.at(2), Entry.Durations) ||
          !decodeBins(Row.at(3), Entry.Ratios) ||
          !decodeOrganisations(Row.at(4), Entry))
        return makeError(ErrorKind::BadRequest,
                         malformed("value out of range"));
      Summary.Entries[Row.at(0).get<std::uint64_t>()] = std::move(Entry);
    }
    return Summary;
  } catch (const json::exception &Fault) {
    return makeError(ErrorKind::BadRequest, malformed(Fault.what()));
  }
}

} // namespace sardinerill
