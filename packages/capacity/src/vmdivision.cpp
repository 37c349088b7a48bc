#include "sardinerill/capacity/vmdivision.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace sardinerill::site {

namespace {

/// Divides \p Amount in proportion to \p Weights. Each part is rounded down,
/// and what is left goes to the parts that lost most by that.
std::vector<int> divideInProportion(const std::vector<int> &Weights,
                                    int Amount) {
  const std::int64_t Total =
      std::accumulate(Weights.begin(), Weights.end(), std::int64_t(0));
  std::vector<int> Parts(Weights.size(), 0);
  if (Total <= 0 || Amount <= 0)
    return Parts;
  if (Total <= Amount)
    return Weights;
  std::vector<std::size_t> ByRemainder(Weights.size());
  std::iota(ByRemainder.begin(), ByRemainder.end(), std::size_t(0));
  const auto Remainder = [&](std::size_t Index) {
    return std::int64_t(Weights[Index]) * Amount % Total;
  };
  int Left = Amount;
  for (std::size_t Index = 0; Index < Weights.size(); ++Index) {
    Parts[Index] = int(std::int64_t(Weights[Index]) * Amount / Total);
    Left -= Parts[Index];
  }
  std::ranges::stable_sort(ByRemainder, [&](std::size_t A, std::size_t B) {
    return Remainder(A) > Remainder(B);
  });
  for (const std::size_t Index : ByRemainder) {
    if (Left <= 0)
      break;
    ++Parts[Index];
    --Left;
  }
  return Parts;
}

} // namespace

std::vector<int> divideVms(std::span<const PoolNeed> Needs, int Available) {
  std::vector<int> Minimums;
  std::vector<int> Remaining;
  int TotalMinimum = 0;
  for (const PoolNeed &Need : Needs) {
    const int Minimum = std::max(0, Need.Minimum);
    Minimums.push_back(Minimum);
    Remaining.push_back(std::max(0, Need.Wanted - Minimum));
    TotalMinimum += Minimum;
  }
  if (TotalMinimum >= Available)
    return divideInProportion(Minimums, Available);
  std::vector<int> Targets =
      divideInProportion(Remaining, Available - TotalMinimum);
  for (std::size_t Index = 0; Index < Targets.size(); ++Index)
    Targets[Index] += Minimums[Index];
  return Targets;
}

} // namespace sardinerill::site
