#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// Reads an object's fields strictly and collects every fault on the way.

namespace sardinerill {

/// Faults found so far, each with the path of its field.
class FaultList {
public:
  void add(const std::string &Path, const std::string &What) {
    this->Lines.push_back(Path + ": " + What);
  }
  bool empty() const { return this->Lines.empty(); }

  /// \returns all faults, separated by "; ".
  std::string render() const {
    std::string Text;
    for (const std::string &Line : this->Lines)
      Text += (Text.empty() ? "" : "; ") + Line;
    return Text;
  }

private:
  std::vector<std::string> Lines;
};

/// Reads one object; fields that nobody asked for are faults on destruction.
class FieldReader {
public:
  using Visit = std::function<void(FieldReader &, const std::string &Name)>;

  FieldReader(const nlohmann::json &Object, std::string Path,
              FaultList &Faults);
  ~FieldReader();
  FieldReader(const FieldReader &) = delete;
  FieldReader &operator=(const FieldReader &) = delete;

  /// \returns the whole number in [Low, High]; without \p Default it must be
  /// there.
  unsigned number(const char *Name, std::uint64_t Low, std::uint64_t High,
                  std::optional<unsigned> Default);
  std::string text(const char *Name,
                   std::optional<std::string> Default = std::nullopt);
  bool flag(const char *Name, bool Default);
  /// Visits each member of an object of objects; an absent one has none.
  void eachMember(const char *Name, const Visit &Do);
  /// Visits an object if it is there.
  void member(const char *Name, const std::function<void(FieldReader &)> &Do);
  void fault(const std::string &Name, const std::string &What);

private:
  const nlohmann::json *take(const char *Name);
  std::string pathOf(const std::string &Name) const;

  const nlohmann::json &Object;
  std::string Path;
  FaultList &Faults;
  std::set<std::string> Taken;
};

} // namespace sardinerill
