#pragma once
// A JSON value with its position in the text.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisydrift {

/// Kind of a JSON value.
enum class JsonKind
{
  Null,
  Boolean,
  /// Number without fraction or exponent that fits into a signed 64-bit integer.
  Integer,
  /// Any other number.
  Number,
  String,
  Array,
  Object
};

struct JsonMember;

/// One JSON value. Only the fields that belong to its kind are meaningful.
struct JsonValue
{
  JsonKind kind = JsonKind::Null;
  /// Line of its first character, starting at 1; 0 when the value was not read from a text.
  unsigned line = 0;
  /// Column of its first character in code points, starting at 1; 0 when not read from a text.
  unsigned column = 0;
  bool boolean = false;
  std::int64_t integer = 0;
  /// Value of a Number, or of an Integer converted to double.
  double number = 0;
  /// Value of a String, in UTF-8.
  std::string text;
  /// Values of an Array.
  std::vector<JsonValue> items;
  /// Members of an Object, in the order of the text.
  std::vector<JsonMember> members;

  JsonValue() = default;
  JsonValue(const char* aText);
  JsonValue(std::string aText);
  JsonValue(std::int64_t aInteger);
  JsonValue(bool aBoolean);

  static JsonValue Array();
  static JsonValue Object();

  /// Returns the value of the member, or null when it is absent or this is not an object.
  const JsonValue* Find(std::string_view aName) const;
  /// Appends a member to an object; the name must not exist yet. Returns this.
  JsonValue& Set(std::string aName, JsonValue aValue);

  /// Returns the text of the member, or "" when it is absent or of another kind.
  std::string TextOf(std::string_view aName) const;
  /// Returns the integer of the member, or aDefault when it is absent or of another kind.
  std::int64_t IntegerOf(std::string_view aName, std::int64_t aDefault = 0) const;
  /// Returns the boolean of the member, or false when it is absent or of another kind.
  bool BooleanOf(std::string_view aName) const;
  /// Returns the items of the member, or an empty list when it is absent or of another kind.
  const std::vector<JsonValue>& ItemsOf(std::string_view aName) const;
};

/// Name and value of a member of an object.
struct JsonMember
{
  std::string name;
  /// Position of the name, as in JsonValue.
  unsigned line = 0;
  unsigned column = 0;
  JsonValue value;
};

/// Writes compact JSON with the members in their order. Equal values produce equal text, so digests
/// can be computed from it. With aIndent > 0, each member or item is on its own line, indented by
/// aIndent spaces per level.
std::string ToJsonText(const JsonValue& aValue, unsigned aIndent = 0);

/// Description of a kind for messages, such as "a string".
const char* Describe(JsonKind aKind);

} // namespace daisydrift
