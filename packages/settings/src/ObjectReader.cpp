#include "daisydrift/settings/ObjectReader.h"

#include <utility>

namespace daisydrift {

ObjectReader::ObjectReader(const JsonValue& aValue,
                           const std::string& aSource,
                           std::string aPath,
                           Findings& aFindings)
  : value(aValue)
  , source(aSource)
  , path(std::move(aPath))
  , findings(aFindings)
{
  if (aValue.kind != JsonKind::Object) {
    this->Report(aValue, "wrong_type", this->path + " must be an object");
  }
}

const JsonValue* ObjectReader::Take(const std::string& aName, JsonKind aKind, bool aIsRequired)
{
  this->requestedKeys.insert(aName);
  const JsonValue* member = this->value.Find(aName);
  if (member == nullptr) {
    if (aIsRequired && this->value.kind == JsonKind::Object) {
      this->Report(this->value, "missing_key", this->path + " needs \"" + aName + "\"");
    }
    return nullptr;
  }
  bool isIntegerForNumber = aKind == JsonKind::Number && member->kind == JsonKind::Integer;
  if (member->kind != aKind && !isIntegerForNumber) {
    this->Report(*member, "wrong_type", "\"" + aName + "\" must be " + Describe(aKind));
    return nullptr;
  }
  return member;
}

const JsonValue* ObjectReader::TakeAny(const std::string& aName)
{
  this->requestedKeys.insert(aName);
  return this->value.Find(aName);
}

std::string ObjectReader::Text(const std::string& aName, bool aIsRequired)
{
  const JsonValue* member = this->Take(aName, JsonKind::String, aIsRequired);
  return member != nullptr ? member->text : "";
}

std::int64_t ObjectReader::Integer(const std::string& aName,
                                   std::int64_t aMinimum,
                                   std::int64_t aMaximum,
                                   bool aIsRequired,
                                   std::int64_t aDefault)
{
  const JsonValue* member = this->Take(aName, JsonKind::Integer, aIsRequired);
  if (member == nullptr) {
    return aDefault;
  }
  if (member->integer < aMinimum || member->integer > aMaximum) {
    this->Report(*member,
                 "out_of_range",
                 "\"" + aName + "\" must be from " + std::to_string(aMinimum) + " to " +
                   std::to_string(aMaximum));
    return aDefault;
  }
  return member->integer;
}

bool ObjectReader::Boolean(const std::string& aName, bool aIsRequired, bool aDefault)
{
  const JsonValue* member = this->Take(aName, JsonKind::Boolean, aIsRequired);
  return member != nullptr ? member->boolean : aDefault;
}

void ObjectReader::ReportUnknownKeys()
{
  for (const JsonMember& member : this->value.members) {
    if (this->requestedKeys.count(member.name) == 0) {
      this->findings.Add({ this->source, member.line, member.column },
                         "unknown_key",
                         "\"" + member.name + "\" is not a key of " + this->path);
    }
  }
}

void ObjectReader::Report(const JsonValue& aLocation, std::string aCode, std::string aMessage)
{
  this->findings.Add(
    { this->source, aLocation.line, aLocation.column }, std::move(aCode), std::move(aMessage));
}

} // namespace daisydrift
