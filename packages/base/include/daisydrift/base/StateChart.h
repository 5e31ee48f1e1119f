#pragma once
// Finite state machines that are defined in text files and interpreted at run time.

#include "daisydrift/base/Finding.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisydrift {

/// A finite state machine parsed from text. Each line is `state event -> next`, `initial state`,
/// `final state...`, empty, or a comment that starts with `#`.
class StateChart
{
public:
  /// Parses aText. Adds a finding for each malformed line, duplicate transition, missing or
  /// repeated initial state, unreachable state, and state that is neither final nor left by any
  /// event. Returns nullopt when there are findings. aSource is the file name used in findings.
  static std::optional<StateChart> Parse(std::string_view aText,
                                         const std::string& aSource,
                                         Findings& aFindings);

  /// The initial state.
  const std::string& Initial() const { return this->initial; }
  /// The state that follows aState on aEvent, or nullopt when there is no such transition.
  std::optional<std::string> Next(const std::string& aState, const std::string& aEvent) const;
  bool IsFinal(const std::string& aState) const;
  /// All states, sorted by name.
  std::vector<std::string> States() const;
  /// All events, sorted by name.
  std::vector<std::string> Events() const;

private:
  void ParseLine(std::string_view aLine, const SourceLocation& aPlace, Findings& aFindings);
  void CheckReachability(const std::string& aSource, Findings& aFindings) const;

  std::string initial;
  std::map<std::string, std::map<std::string, std::string>> transitions;
  std::map<std::string, bool> finalByState;
};

} // namespace daisydrift
