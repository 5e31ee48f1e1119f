#include "daisydrift/settings/DaemonSettings.h"

#include "daisydrift/settings/JsonReader.h"
#include "daisydrift/settings/SettingsSchema.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <set>

namespace daisydrift {

namespace {

/// Checks a settings file against the schema and converts it to DaemonSettings.
class SettingsLoader
{
public:
  SettingsLoader(const JsonValue& aRoot, const std::string& aSource, Findings& aFindings)
    : root(aRoot)
    , source(aSource)
    , findings(aFindings)
    , isSyntaxValid(aFindings.Empty())
  {
  }

  DaemonSettings Load()
  {
    if (this->root.kind != JsonKind::Object) {
      this->Report(this->root, "wrong_type", "the settings must be an object");
      return {};
    }
    this->CheckKeys();
    DaemonSettings settings;
    for (const SettingSpec& spec : DaemonSettingsSchema()) {
      this->LoadSetting(spec, settings);
    }
    this->CheckCombinations(settings);
    return settings;
  }

private:
  void Report(const JsonValue& aLocation, const char* aCode, const std::string& aMessage)
  {
    // After a syntax error, a key may be missing only because it could not be read.
    if (!this->isSyntaxValid && std::string_view(aCode) == "missing_key") {
      return;
    }
    this->findings.Add({ this->source, aLocation.line, aLocation.column }, aCode, aMessage);
  }

  /// Reports keys that are not in the schema and sections that are not objects.
  void CheckKeys()
  {
    std::map<std::string, std::set<std::string>> sections;
    for (const SettingSpec& spec : DaemonSettingsSchema()) {
      std::size_t dot = spec.path.find('.');
      auto& keys = sections[spec.path.substr(0, dot)];
      if (dot != std::string::npos) {
        keys.insert(spec.path.substr(dot + 1));
      }
    }
    for (const JsonMember& member : this->root.members) {
      auto section = sections.find(member.name);
      if (section == sections.end()) {
        this->ReportUnknownKey(member, member.name);
        continue;
      }
      if (section->second.empty()) {
        continue;
      }
      if (member.value.kind != JsonKind::Object) {
        this->Report(member.value, "wrong_type", "\"" + member.name + "\" must be an object");
        continue;
      }
      for (const JsonMember& sectionMember : member.value.members) {
        if (section->second.count(sectionMember.name) == 0) {
          this->ReportUnknownKey(sectionMember, member.name + "." + sectionMember.name);
        }
      }
    }
  }

  void ReportUnknownKey(const JsonMember& aMember, const std::string& aPath)
  {
    this->findings.Add({ this->source, aMember.line, aMember.column },
                       "unknown_key",
                       "\"" + aPath + "\" is not a setting");
  }

  const JsonValue* FindPath(const std::string& aPath) const
  {
    std::size_t dot = aPath.find('.');
    const JsonValue* section = this->root.Find(aPath.substr(0, dot));
    if (dot == std::string::npos || section == nullptr) {
      return section;
    }
    return section->Find(aPath.substr(dot + 1));
  }

  void LoadSetting(const SettingSpec& aSpec, DaemonSettings& aSettings)
  {
    const JsonValue* value = this->FindPath(aSpec.path);
    if (value != nullptr) {
      if (this->Check(aSpec, *value)) {
        aSpec.apply(aSettings, *value);
      }
      return;
    }
    if (aSpec.isRequired) {
      this->Report(this->root, "missing_key", "\"" + aSpec.path + "\" is required");
      return;
    }
    if (!aSpec.defaultText.empty()) {
      Findings noFindings;
      std::optional<JsonValue> defaultValue = ReadJson(aSpec.defaultText, "default", noFindings);
      assert(defaultValue && noFindings.Empty());
      aSpec.apply(aSettings, *defaultValue);
    }
  }

  bool Check(const SettingSpec& aSpec, const JsonValue& aValue)
  {
    JsonKind expected = ToJsonKind(aSpec.type);
    bool isIntegerForNumber = expected == JsonKind::Number && aValue.kind == JsonKind::Integer;
    if (aValue.kind != expected && !isIntegerForNumber) {
      this->Report(aValue, "wrong_type", "\"" + aSpec.path + "\" must be " + Describe(expected));
      return false;
    }
    switch (aSpec.type) {
      case SettingType::Integer:
      case SettingType::Number:
        return this->CheckRange(aSpec, aValue);
      case SettingType::EndpointList:
        return this->CheckEndpoints(aSpec, aValue);
      case SettingType::Choice:
        return this->CheckChoice(aSpec, aValue);
      default:
        return this->CheckText(aSpec, aValue);
    }
  }

  static JsonKind ToJsonKind(SettingType aType)
  {
    switch (aType) {
      case SettingType::Integer:
        return JsonKind::Integer;
      case SettingType::Number:
        return JsonKind::Number;
      case SettingType::EndpointList:
        return JsonKind::Array;
      default:
        return JsonKind::String;
    }
  }

  bool CheckRange(const SettingSpec& aSpec, const JsonValue& aValue)
  {
    if (aValue.number >= aSpec.minimum && aValue.number <= aSpec.maximum) {
      return true;
    }
    std::string unit = aSpec.unit.empty() ? "" : " " + aSpec.unit;
    this->Report(aValue,
                 "out_of_range",
                 "\"" + aSpec.path + "\" must be from " +
                   std::to_string(static_cast<long long>(aSpec.minimum)) + " to " +
                   std::to_string(static_cast<long long>(aSpec.maximum)) + unit);
    return false;
  }

  bool CheckEndpoints(const SettingSpec& aSpec, const JsonValue& aValue)
  {
    if (aValue.items.empty()) {
      this->Report(aValue, "out_of_range", "\"" + aSpec.path + "\" must name at least one IP:PORT");
      return false;
    }
    bool isValid = true;
    for (const JsonValue& item : aValue.items) {
      Endpoint endpoint;
      if (item.kind != JsonKind::String || !ParseEndpoint(item.text, endpoint)) {
        this->Report(item, "bad_value", "\"" + aSpec.path + "\" must hold IPv4 numbers as IP:PORT");
        isValid = false;
      }
    }
    return isValid;
  }

  bool CheckChoice(const SettingSpec& aSpec, const JsonValue& aValue)
  {
    const auto& choices = aSpec.choices;
    if (std::find(choices.begin(), choices.end(), aValue.text) != choices.end()) {
      return true;
    }
    std::string list;
    for (const std::string& choice : choices) {
      list += (list.empty() ? "" : ", ") + choice;
    }
    this->Report(aValue, "bad_value", "\"" + aSpec.path + "\" must be one of " + list);
    return false;
  }

  bool CheckText(const SettingSpec& aSpec, const JsonValue& aValue)
  {
    Endpoint endpoint;
    const char* expected = nullptr;
    if (aValue.text.empty()) {
      expected = "text that is not empty";
    } else if (aSpec.type == SettingType::Endpoint && !ParseEndpoint(aValue.text, endpoint)) {
      expected = "an IPv4 number and a port as IP:PORT";
    } else if (aSpec.type == SettingType::Address && !ParseEndpoint(aValue.text + ":1", endpoint)) {
      expected = "an IPv4 number";
    } else if (aSpec.type == SettingType::Digest && !IsDigest(aValue.text)) {
      expected = "64 lower-case hexadecimal digits";
    }
    if (expected != nullptr) {
      this->Report(aValue, "bad_value", "\"" + aSpec.path + "\" must be " + std::string(expected));
    }
    return expected == nullptr;
  }

  static bool IsDigest(const std::string& aText)
  {
    return aText.size() == 64 && aText.find_first_not_of("0123456789abcdef") == std::string::npos;
  }

  /// Checks the rules that involve more than one setting.
  void CheckCombinations(DaemonSettings& aSettings)
  {
    const JsonValue* digest = this->FindPath("operators.key_digest");
    const JsonValue* digestFile = this->FindPath("operators.key_digest_file");
    if (digest == nullptr && digestFile == nullptr) {
      this->Report(this->root,
                   "missing_key",
                   "one of \"operators.key_digest\" and \"operators.key_digest_file\" is required");
    }
    if (digest != nullptr && digestFile != nullptr) {
      this->Report(*digestFile,
                   "conflicting_keys",
                   "\"operators.key_digest_file\" must not be given with \"operators.key_digest\"");
    }
    const JsonValue* certificateFile = this->FindPath("tls.certificate_file");
    const JsonValue* keyFile = this->FindPath("tls.key_file");
    if ((certificateFile == nullptr) != (keyFile == nullptr)) {
      this->Report(certificateFile != nullptr ? *certificateFile : *keyFile,
                   "conflicting_keys",
                   "\"tls.certificate_file\" and \"tls.key_file\" must be given together");
    }
    this->CheckAdvertisedAddress(aSettings);
  }

  void CheckAdvertisedAddress(DaemonSettings& aSettings)
  {
    const JsonValue* advertised = this->FindPath("advertised_address");
    if (advertised == nullptr) {
      aSettings.advertisedAddress = aSettings.listen.address;
    }
    if (aSettings.advertisedAddress == "0.0.0.0") {
      this->Report(advertised != nullptr ? *advertised : this->root,
                   advertised != nullptr ? "bad_value" : "missing_key",
                   "\"advertised_address\" must be the address of this instance when it listens on "
                   "0.0.0.0");
    }
  }

  const JsonValue& root;
  const std::string& source;
  Findings& findings;
  /// True when reading the JSON text reported no findings.
  bool isSyntaxValid;
};

} // namespace

DaemonSettings LoadDaemonSettings(const std::string& aText,
                                  const std::string& aSource,
                                  Findings& aFindings)
{
  Findings ownFindings;
  std::optional<JsonValue> root = ReadJson(aText, aSource, ownFindings);
  DaemonSettings settings;
  if (root) {
    settings = SettingsLoader(*root, aSource, ownFindings).Load();
  }
  aFindings.Append(ownFindings);
  return settings;
}

} // namespace daisydrift
