#pragma once

#include <memory>
#include <string>

/// \file
/// The operators' HTTP door, by the cxxtools server.

namespace sardinerill {

/// One call of an operator.
struct OperatorCall {
  std::string Method;
  std::string Path;
  std::string Query;
  std::string Key; ///< From Authorization: Bearer; empty if there was none.
  std::string Body;
};

struct OperatorAnswer {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Answers operators. Called on the door's threads; may block.
class IOperations {
public:
  virtual ~IOperations() = default;
  virtual OperatorAnswer handle(const OperatorCall &Call) = 0;
};

struct OperatorDoorOptions {
  std::string Address;
  unsigned short Port = 0;
  std::size_t MaxBodyBytes = 4 * 1024 * 1024;
  unsigned MaxThreads = 16;
};

/// A door of its own: callers can't keep operators out.
class OperatorDoor {
public:
  OperatorDoor(OperatorDoorOptions Options, IOperations &Operations);
  ~OperatorDoor();

  /// \returns an empty text, or why the door can't be opened.
  std::string open();
  /// Answers what runs, then closes.
  void close();

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace sardinerill
