#pragma once
// Table of all settings: path, type, range, default, unit and help.

#include "daisydrift/settings/DaemonSettings.h"
#include "daisydrift/settings/JsonValue.h"

#include <functional>
#include <string>
#include <vector>

namespace daisydrift {

/// Type of a setting's value.
enum class SettingType
{
  Text,
  Integer,
  Number,
  /// One of SettingSpec::choices.
  Choice,
  /// IPv4 address.
  Address,
  /// `IP:PORT`.
  Endpoint,
  /// Array of `IP:PORT`, at least one.
  EndpointList,
  /// 64 hexadecimal digits.
  Digest
};

/// Schema of one setting.
struct SettingSpec
{
  /// Keys joined by dots, such as "listen.http_port". Sections are one level deep.
  std::string path;
  SettingType type = SettingType::Text;
  bool isRequired = false;
  /// Inclusive range of an Integer or Number.
  double minimum = 0;
  double maximum = 0;
  /// Default value as JSON text; empty when there is none.
  std::string defaultText;
  /// Unit of the value, or "" for none.
  std::string unit;
  /// Allowed values of a Choice.
  std::vector<std::string> choices;
  std::string help;
  /// Writes a validated value into the settings.
  std::function<void(DaemonSettings&, const JsonValue&)> apply;
};

/// All settings, in the order of the settings page.
const std::vector<SettingSpec>& DaemonSettingsSchema();

/// Generates the Markdown page of all settings from the schema.
std::string DescribeSettings();

} // namespace daisydrift
