#include "daisydrift/coordination/JsonFields.h"

namespace daisydrift {

using nlohmann::json;

JsonFields::JsonFields(const json& aObject)
  : document(aObject)
{
  if (!aObject.is_object()) {
    this->error = "not an object";
  }
}

JsonFields::JsonFields(const json& aList, std::size_t aItems)
  : document(aList)
{
  if (!aList.is_array() || aList.size() < aItems) {
    this->error = "not a list of " + std::to_string(aItems) + " items";
  }
}

void JsonFields::Fail(Name aName, std::string_view aReason)
{
  if (this->error.empty()) {
    this->error = aName.ToText() + ": " + std::string(aReason);
  }
}

void JsonFields::Adopt(Name aName, const JsonFields& aField)
{
  if (!aField.IsValid()) {
    this->Fail(aName, aField.Error());
  }
}

void JsonFields::Require(std::initializer_list<const char*> aNames)
{
  for (const char* name : aNames) {
    if (this->Find(name) == nullptr) {
      this->Fail(name, "missing");
    }
  }
}

const json* JsonFields::Find(Name aName) const
{
  if (aName.text == nullptr) {
    bool hasItem = this->document.is_array() && aName.position < this->document.size();
    return hasItem ? &this->document[aName.position] : nullptr;
  }
  if (!this->document.is_object()) {
    return nullptr;
  }
  auto found = this->document.find(aName.text);
  return found == this->document.end() ? nullptr : &*found;
}

const json* JsonFields::List(Name aName)
{
  const json* field = this->Find(aName);
  if (field != nullptr && !field->is_array()) {
    this->Fail(aName, "not a list");
    return nullptr;
  }
  return field;
}

std::string JsonFields::Text(Name aName)
{
  const json* field = this->Find(aName);
  if (field != nullptr && !field->is_string()) {
    this->Fail(aName, "not text");
    return {};
  }
  return field == nullptr ? std::string() : field->get<std::string>();
}

bool JsonFields::Flag(Name aName, bool aDefault)
{
  const json* field = this->Find(aName);
  if (field != nullptr && !field->is_boolean()) {
    this->Fail(aName, "not true or false");
    return aDefault;
  }
  return field == nullptr ? aDefault : field->get<bool>();
}

double JsonFields::Real(Name aName, double aMinimum, double aMaximum, double aDefault)
{
  const json* field = this->Find(aName);
  if (field == nullptr) {
    return aDefault;
  }
  if (!field->is_number()) {
    this->Fail(aName, "not a number");
    return aDefault;
  }
  auto value = field->get<double>();
  if (!(value >= aMinimum && value <= aMaximum)) {
    this->Fail(aName, "out of range");
    return aDefault;
  }
  return value;
}

} // namespace daisydrift
