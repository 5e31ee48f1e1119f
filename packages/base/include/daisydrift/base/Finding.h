#pragma once
// Problems found in an input, collected with their source locations and reported together.

#include <string>
#include <vector>

namespace daisydrift {

/// Source location of a finding. Line and column count from 1; 0 means unknown.
struct SourceLocation
{
  /// File name, or the name of the input, such as "request body".
  std::string source;
  unsigned line = 0;
  unsigned column = 0;
};

/// One problem of an input.
struct Finding
{
  SourceLocation place;
  /// Machine-readable code, such as "unknown_key".
  std::string code;
  /// Human-readable text: what is wrong and what is expected.
  std::string message;
};

/// All problems of one input. Checks add a finding and continue, so that the user sees all problems
/// at once.
class Findings
{
public:
  void Add(SourceLocation aPlace, std::string aCode, std::string aMessage);
  /// Appends all findings of aOther.
  void Append(const Findings& aOther);
  bool Empty() const { return this->items.empty(); }
  /// All findings, in the order in which they were added.
  const std::vector<Finding>& Items() const { return this->items; }
  /// One line for each finding, `file:line:column: code: message`; line and column are left out
  /// when unknown.
  std::string ToText() const;

private:
  std::vector<Finding> items;
};

} // namespace daisydrift
