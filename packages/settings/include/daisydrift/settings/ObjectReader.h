#pragma once
// Typed access to the members of a JSON object, with findings.

#include "daisydrift/base.h"
#include "daisydrift/settings/JsonValue.h"

#include <limits>
#include <set>
#include <string>

namespace daisydrift {

/// Reads the members of one object and reports wrong types, values out of range, and missing and
/// unknown keys. Codes: "wrong_type", "out_of_range", "missing_key", "unknown_key".
class ObjectReader
{
public:
  /// aPath names the object in messages, such as "teams[2]". aValue, aSource and aFindings must
  /// outlive the reader.
  ObjectReader(const JsonValue& aValue,
               const std::string& aSource,
               std::string aPath,
               Findings& aFindings);

  /// The member, or null when absent or of another kind. An absent member is a finding when
  /// aIsRequired.
  const JsonValue* Take(const std::string& aName, JsonKind aKind, bool aIsRequired);
  /// The member of any kind, or null when absent.
  const JsonValue* TakeAny(const std::string& aName);
  /// Text of the member, or "" when there is none.
  std::string Text(const std::string& aName, bool aIsRequired = true);
  /// Integer of the member, or aDefault when an optional one is absent.
  std::int64_t Integer(const std::string& aName,
                       std::int64_t aMinimum,
                       std::int64_t aMaximum,
                       bool aIsRequired = true,
                       std::int64_t aDefault = 0);
  /// Boolean of the member, or aDefault when an optional one is absent.
  bool Boolean(const std::string& aName, bool aIsRequired = true, bool aDefault = false);
  /// Reports members that were never asked for.
  void Finish();

  /// Adds a finding at a value of this input.
  void Report(const JsonValue& aAt, std::string aCode, std::string aMessage);

private:
  const JsonValue& value;
  const std::string& source;
  std::string path;
  Findings& findings;
  std::set<std::string> known;
};

} // namespace daisydrift
