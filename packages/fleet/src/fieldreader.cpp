#include "fieldreader.h"

#include "sardinerill/base/text.h"

namespace sardinerill {

using nlohmann::json;

FieldReader::FieldReader(const json &Object, std::string Path,
                         ErrorList &Errors)
    : Object(Object), Path(std::move(Path)), Errors(Errors) {
  if (!Object.is_object())
    this->Errors.add(this->Path.empty() ? "document" : this->Path,
                     "must be an object");
}

FieldReader::~FieldReader() {
  if (!this->Object.is_object())
    return;
  for (const auto &[Name, Value] : this->Object.items())
    if (!this->ReadFields.contains(Name))
      this->addError(Name, "unknown field");
}

std::string FieldReader::pathOf(const std::string &Name) const {
  return this->Path.empty() ? Name : this->Path + "." + Name;
}

void FieldReader::addError(const std::string &Name,
                           const std::string &Message) {
  this->Errors.add(this->pathOf(Name), Message);
}

const json *FieldReader::findField(const char *Name) {
  this->ReadFields.insert(Name);
  if (!this->Object.is_object())
    return nullptr;
  auto Found = this->Object.find(Name);
  return Found == this->Object.end() ? nullptr : &*Found;
}

unsigned FieldReader::readUnsigned(const char *Name, std::uint64_t Low,
                                   std::uint64_t High,
                                   std::optional<unsigned> Default) {
  const json *Value = this->findField(Name);
  if (Value == nullptr) {
    if (!Default)
      this->addError(Name, "is missing");
    return Default.value_or(0);
  }
  const bool IsInteger = Value->is_number_unsigned() ||
                         (Value->is_number_integer() && *Value >= 0);
  const std::uint64_t Number = IsInteger ? Value->get<std::uint64_t>() : 0;
  if (!IsInteger || Number < Low || Number > High) {
    this->addError(Name, "must be an integer from " + std::to_string(Low) +
                             " to " + std::to_string(High));
    return Default.value_or(0);
  }
  return static_cast<unsigned>(Number);
}

std::string FieldReader::readString(const char *Name,
                                    std::optional<std::string> Default) {
  const json *Value = this->findField(Name);
  if (Value == nullptr) {
    if (!Default)
      this->addError(Name, "is missing");
    return Default.value_or("");
  }
  if (!Value->is_string()) {
    this->addError(Name, "must be a string");
    return Default.value_or("");
  }
  return Value->get<std::string>();
}

bool FieldReader::readBool(const char *Name, bool Default) {
  const json *Value = this->findField(Name);
  if (Value == nullptr)
    return Default;
  if (!Value->is_boolean()) {
    this->addError(Name, "must be true or false");
    return Default;
  }
  return Value->get<bool>();
}

void FieldReader::forEachMember(const char *Name,
                                const MemberVisitor &Visitor) {
  const json *Section = this->findField(Name);
  if (Section == nullptr)
    return;
  if (!Section->is_object()) {
    this->addError(Name, "must be an object");
    return;
  }
  for (const auto &[Member, Value] : Section->items()) {
    const std::string MemberPath = this->pathOf(Name) + "." + Member;
    if (!isValidName(Member))
      this->Errors.add(MemberPath, "is not a plain name of up to 100 letters, "
                                   "digits, '-', '_' or '.'");
    FieldReader Entry(Value, MemberPath, this->Errors);
    Visitor(Entry, Member);
  }
}

void FieldReader::visitObject(
    const char *Name, const std::function<void(FieldReader &)> &Visitor) {
  const json *Value = this->findField(Name);
  if (Value == nullptr)
    return;
  FieldReader Entry(*Value, this->pathOf(Name), this->Errors);
  Visitor(Entry);
}

} // namespace sardinerill
