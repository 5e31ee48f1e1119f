#pragma once
// Typed and checked access to the members of a JSON object.

#include "daisydrift/base.h"
#include "daisydrift/settings/JsonValue.h"

#include <limits>
#include <set>
#include <string>

namespace daisydrift {

/// Reads the members of one object. Reports wrong types, values out of range, missing keys and
/// unknown keys as findings with the codes "wrong_type", "out_of_range", "missing_key" and
/// "unknown_key".
class ObjectReader
{
public:
  /// aSource names the file in findings, aPath the object in messages, such as "teams[2]". aValue,
  /// aSource and aFindings must outlive the reader.
  ObjectReader(const JsonValue& aValue,
               const std::string& aSource,
               std::string aPath,
               Findings& aFindings);

  /// Returns the member, or null when it is absent or of another kind. Another kind is a finding,
  /// as is an absent member when aIsRequired.
  const JsonValue* Take(const std::string& aName, JsonKind aKind, bool aIsRequired);
  /// Returns the member of any kind, or null when it is absent.
  const JsonValue* TakeAny(const std::string& aName);
  /// Returns the text of the member, or "" when it is absent or of another kind.
  std::string Text(const std::string& aName, bool aIsRequired = true);
  /// Returns the integer of the member, or aDefault when it is absent, of another kind or out of
  /// range.
  std::int64_t Integer(const std::string& aName,
                       std::int64_t aMinimum,
                       std::int64_t aMaximum,
                       bool aIsRequired = true,
                       std::int64_t aDefault = 0);
  /// Returns the boolean of the member, or aDefault when it is absent or of another kind.
  bool Boolean(const std::string& aName, bool aIsRequired = true, bool aDefault = false);
  /// Reports each member that was never requested with the code "unknown_key".
  void ReportUnknownKeys();

  /// Adds a finding at the position of aLocation.
  void Report(const JsonValue& aLocation, std::string aCode, std::string aMessage);

private:
  const JsonValue& value;
  const std::string& source;
  std::string path;
  Findings& findings;
  std::set<std::string> requestedKeys;
};

} // namespace daisydrift
