#pragma once
// A JSON value that knows where it was read.

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
  /// Number without fraction or exponent that fits 64 bits.
  Integer,
  /// Any other number.
  Number,
  String,
  Array,
  Object
};

struct JsonMember;

/// One JSON value. Only the fields of its kind are meaningful.
struct JsonValue
{
  JsonKind kind = JsonKind::Null;
  /// Line of its first character, from 1; 0 when the value was not read from a text.
  unsigned line = 0;
  /// Column of its first character in code points, from 1; 0 when not read from a text.
  unsigned column = 0;
  bool boolean = false;
  std::int64_t integer = 0;
  /// Value of a Number, and of an Integer converted.
  double number = 0;
  /// Value of a String, in UTF-8.
  std::string text;
  /// Values of an Array.
  std::vector<JsonValue> items;
  /// Members of an Object in the order of the text.
  std::vector<JsonMember> members;

  JsonValue() = default;
  JsonValue(const char* aText);
  JsonValue(std::string aText);
  JsonValue(std::int64_t aInteger);
  JsonValue(bool aBoolean);

  /// An empty array.
  static JsonValue Array();
  /// An empty object.
  static JsonValue Object();

  /// The member of that name, or null when absent or when this is not an object.
  const JsonValue* Find(std::string_view aName) const;
  /// Appends a member; the name must not be present yet. Returns this.
  JsonValue& Set(std::string aName, JsonValue aValue);

  /// The text of the member of that name, or "" when absent or of another kind.
  std::string TextOf(std::string_view aName) const;
  /// The integer of the member of that name, or aDefault when absent or of another kind.
  std::int64_t IntegerOf(std::string_view aName, std::int64_t aDefault = 0) const;
  /// The boolean of the member of that name, or false when absent or of another kind.
  bool BooleanOf(std::string_view aName) const;
  /// The items of the member of that name, or none when absent or of another kind.
  const std::vector<JsonValue>& ItemsOf(std::string_view aName) const;
};

/// A name and a value of an object.
struct JsonMember
{
  std::string name;
  /// Place of the name, as in JsonValue.
  unsigned line = 0;
  unsigned column = 0;
  JsonValue value;
};

/// Compact JSON text in the order of the members. Equal values give equal text, so digests can be
/// made from it. aIndent > 0 gives one member a line.
std::string ToJsonText(const JsonValue& aValue, unsigned aIndent = 0);

/// Name of a kind for messages, such as "a string".
const char* Describe(JsonKind aKind);

} // namespace daisydrift
