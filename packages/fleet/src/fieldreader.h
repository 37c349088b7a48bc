#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// Strict reader of JSON objects that collects all errors.

namespace sardinerill {

/// Errors found so far, each with the path of its field.
class ErrorList {
public:
  void add(const std::string &Path, const std::string &Message) {
    this->Lines.push_back(Path + ": " + Message);
  }
  bool empty() const { return this->Lines.empty(); }

  /// \returns all errors, separated by "; ".
  std::string render() const {
    std::string Text;
    for (const std::string &Line : this->Lines)
      Text += (Text.empty() ? "" : "; ") + Line;
    return Text;
  }

private:
  std::vector<std::string> Lines;
};

/// Reads one object. The destructor reports an error for each field that was
/// not read, so the object and the error list must outlive the reader.
class FieldReader {
public:
  using MemberVisitor =
      std::function<void(FieldReader &, const std::string &Name)>;

  FieldReader(const nlohmann::json &Object, std::string Path,
              ErrorList &Errors);
  ~FieldReader();
  FieldReader(const FieldReader &) = delete;
  FieldReader &operator=(const FieldReader &) = delete;

  /// \returns the integer field's value, which must be in [Low, High]. The
  /// field is required unless a \p Default is given.
  unsigned readUnsigned(const char *Name, std::uint64_t Low, std::uint64_t High,
                        std::optional<unsigned> Default);
  std::string readString(const char *Name,
                         std::optional<std::string> Default = std::nullopt);
  bool readBool(const char *Name, bool Default);
  /// Visits each member of an object of objects. A missing field counts as an
  /// empty object.
  void forEachMember(const char *Name, const MemberVisitor &Visitor);
  /// Visits an object field if it is present.
  void visitObject(const char *Name,
                   const std::function<void(FieldReader &)> &Visitor);
  void addError(const std::string &Name, const std::string &Message);

private:
  const nlohmann::json *findField(const char *Name);
  std::string pathOf(const std::string &Name) const;

  const nlohmann::json &Object;
  std::string Path;
  ErrorList &Errors;
  std::set<std::string> ReadFields;
};

} // namespace sardinerill
