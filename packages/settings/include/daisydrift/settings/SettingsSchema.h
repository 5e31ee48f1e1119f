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
  /// One of the choices listed.
  Choice,
  /// IPv4 number.
  Address,
  /// `IP:PORT`.
  Endpoint,
  /// Array of `IP:PORT`, at least one.
  EndpointList,
  /// 64 hexadecimal digits.
  Digest
};

/// One setting.
struct SettingSpec
{
  /// Path of keys joined by dots, such as "listen.http_port". Sections are one level deep.
  std::string path;
  SettingType type = SettingType::Text;
  bool isRequired = false;
  /// Smallest and largest value of an Integer or Number.
  double minimum = 0;
  double maximum = 0;
  /// JSON text of the default; empty when there is none.
  std::string defaultText;
  /// Unit of the value, or "" for none.
  std::string unit;
  /// Values of a Choice.
  std::vector<std::string> choices;
  std::string help;
  /// Stores a checked value.
  std::function<void(DaemonSettings&, const JsonValue&)> store;
};

/// All settings in the order of the page.
const std::vector<SettingSpec>& DaemonSettingsSchema();

/// Markdown page of all settings, made from the schema.
std::string DescribeSettings();

} // namespace daisydrift
