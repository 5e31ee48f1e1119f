#include "daisydrift/settings/JsonValue.h"

#include <array>
#include <cassert>
#include <charconv>

namespace daisydrift {

namespace {

void AppendQuotedString(std::string& aOut, const std::string& aText)
{
  constexpr const char* kHexDigits = "0123456789abcdef";
  aOut += '"';
  for (char character : aText) {
    auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aOut += '\\';
      aOut += character;
    } else if (character == '\n') {
      aOut += "\\n";
    } else if (character == '\t') {
      aOut += "\\t";
    } else if (byte < 0x20 || byte == 0x7f) {
      aOut += "\\u00";
      aOut += kHexDigits[byte >> 4];
      aOut += kHexDigits[byte & 15];
    } else {
      aOut += character;
    }
  }
  aOut += '"';
}

void AppendNumber(std::string& aOut, double aNumber)
{
  std::array<char, 64> buffer{};
  auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), aNumber);
  assert(error == std::errc());
  aOut.append(buffer.data(), end);
}

void AppendLineBreak(std::string& aOut, unsigned aIndent, unsigned aDepth)
{
  if (aIndent > 0) {
    aOut += '\n';
    aOut.append(std::size_t(aIndent) * aDepth, ' ');
  }
}

void AppendValue(std::string& aOut, const JsonValue& aValue, unsigned aIndent, unsigned aDepth)
{
  switch (aValue.kind) {
    case JsonKind::Null:
      aOut += "null";
      return;
    case JsonKind::Boolean:
      aOut += aValue.boolean ? "true" : "false";
      return;
    case JsonKind::Integer:
      aOut += std::to_string(aValue.integer);
      return;
    case JsonKind::Number:
      AppendNumber(aOut, aValue.number);
      return;
    case JsonKind::String:
      AppendQuotedString(aOut, aValue.text);
      return;
    case JsonKind::Array:
    case JsonKind::Object:
      break;
  }
  bool isObject = aValue.kind == JsonKind::Object;
  aOut += isObject ? '{' : '[';
  std::size_t count = isObject ? aValue.members.size() : aValue.items.size();
  for (std::size_t i = 0; i < count; ++i) {
    aOut += i > 0 ? "," : "";
    AppendLineBreak(aOut, aIndent, aDepth + 1);
    if (isObject) {
      AppendQuotedString(aOut, aValue.members[i].name);
      aOut += aIndent > 0 ? ": " : ":";
    }
    const JsonValue& child = isObject ? aValue.members[i].value : aValue.items[i];
    AppendValue(aOut, child, aIndent, aDepth + 1);
  }
  if (count > 0) {
    AppendLineBreak(aOut, aIndent, aDepth);
  }
  aOut += isObject ? '}' : ']';
}

} // namespace

JsonValue::JsonValue(const char* aText)
  : kind(JsonKind::String)
  , text(aText)
{
}

JsonValue::JsonValue(std::string aText)
  : kind(JsonKind::String)
  , text(std::move(aText))
{
}

JsonValue::JsonValue(std::int64_t aInteger)
  : kind(JsonKind::Integer)
  , integer(aInteger)
  , number(static_cast<double>(aInteger))
{
}

JsonValue::JsonValue(bool aBoolean)
  : kind(JsonKind::Boolean)
  , boolean(aBoolean)
{
}

JsonValue JsonValue::Array()
{
  JsonValue value;
  value.kind = JsonKind::Array;
  return value;
}

JsonValue JsonValue::Object()
{
  JsonValue value;
  value.kind = JsonKind::Object;
  return value;
}

const JsonValue* JsonValue::Find(std::string_view aName) const
{
  for (const JsonMember& member : this->members) {
    if (member.name == aName) {
      return &member.value;
    }
  }
  return nullptr;
}

JsonValue& JsonValue::Set(std::string aName, JsonValue aValue)
{
  assert(this->kind == JsonKind::Object && this->Find(aName) == nullptr);
  this->members.push_back({ std::move(aName), 0, 0, std::move(aValue) });
  return *this;
}

std::string JsonValue::TextOf(std::string_view aName) const
{
  const JsonValue* member = this->Find(aName);
  return member != nullptr && member->kind == JsonKind::String ? member->text : "";
}

std::int64_t JsonValue::IntegerOf(std::string_view aName, std::int64_t aDefault) const
{
  const JsonValue* member = this->Find(aName);
  return member != nullptr && member->kind == JsonKind::Integer ? member->integer : aDefault;
}

bool JsonValue::BooleanOf(std::string_view aName) const
{
  const JsonValue* member = this->Find(aName);
  return member != nullptr && member->kind == JsonKind::Boolean && member->boolean;
}

const std::vector<JsonValue>& JsonValue::ItemsOf(std::string_view aName) const
{
  static const std::vector<JsonValue> sEmpty;
  const JsonValue* member = this->Find(aName);
  return member != nullptr && member->kind == JsonKind::Array ? member->items : sEmpty;
}

std::string ToJsonText(const JsonValue& aValue, unsigned aIndent)
{
  std::string text;
  AppendValue(text, aValue, aIndent, 0);
  return text;
}

const char* Describe(JsonKind aKind)
{
  switch (aKind) {
    case JsonKind::Null:
      return "null";
    case JsonKind::Boolean:
      return "true or false";
    case JsonKind::Integer:
      return "an integer";
    case JsonKind::Number:
      return "a number";
    case JsonKind::String:
      return "a string";
    case JsonKind::Array:
      return "an array";
    case JsonKind::Object:
      return "an object";
  }
  return "";
}

} // namespace daisydrift
