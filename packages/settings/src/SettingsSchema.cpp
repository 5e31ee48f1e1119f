#include "daisydrift/settings/SettingsSchema.h"

#include <utility>

namespace daisydrift {

namespace {

using ApplyFunction = std::function<void(DaemonSettings&, const JsonValue&)>;

SettingSpec TextSpec(std::string aPath, bool aIsRequired, std::string aHelp, ApplyFunction aApply)
{
  SettingSpec spec;
  spec.path = std::move(aPath);
  spec.isRequired = aIsRequired;
  spec.help = std::move(aHelp);
  spec.apply = std::move(aApply);
  return spec;
}

SettingSpec TypedSpec(SettingType aType,
                      std::string aPath,
                      bool aIsRequired,
                      std::string aDefault,
                      std::string aHelp,
                      ApplyFunction aApply)
{
  SettingSpec spec = TextSpec(std::move(aPath), aIsRequired, std::move(aHelp), std::move(aApply));
  spec.type = aType;
  spec.defaultText = std::move(aDefault);
  return spec;
}

/// Integer setting. With an empty aDefault, an absent value is not written into the settings.
SettingSpec IntegerSpec(std::string aPath,
                        double aMinimum,
                        double aMaximum,
                        std::string aDefault,
                        std::string aUnit,
                        std::string aHelp,
                        ApplyFunction aApply)
{
  SettingSpec spec = TypedSpec(SettingType::Integer,
                               std::move(aPath),
                               false,
                               std::move(aDefault),
                               std::move(aHelp),
                               std::move(aApply));
  spec.minimum = aMinimum;
  spec.maximum = aMaximum;
  spec.unit = std::move(aUnit);
  return spec;
}

SettingSpec WeightSpec(std::string aPath, std::string aHelp, ApplyFunction aApply)
{
  SettingSpec spec = TypedSpec(
    SettingType::Number, std::move(aPath), false, "", std::move(aHelp), std::move(aApply));
  spec.maximum = 1000;
  return spec;
}

SettingSpec ChoiceSpec(std::string aPath,
                       std::vector<std::string> aChoices,
                       std::string aHelp,
                       ApplyFunction aApply)
{
  SettingSpec spec = TypedSpec(SettingType::Choice,
                               std::move(aPath),
                               false,
                               "\"" + aChoices.front() + "\"",
                               std::move(aHelp),
                               std::move(aApply));
  spec.choices = std::move(aChoices);
  return spec;
}

std::chrono::milliseconds ToMilliseconds(const JsonValue& aValue)
{
  return std::chrono::milliseconds(aValue.integer);
}

Endpoint ToEndpoint(const JsonValue& aValue)
{
  Endpoint endpoint;
  ParseEndpoint(aValue.text, endpoint);
  return endpoint;
}

LogLevel ToLogLevel(const std::string& aName)
{
  if (aName == "debug") {
    return LogLevel::Debug;
  }
  if (aName == "warning") {
    return LogLevel::Warning;
  }
  return aName == "error" ? LogLevel::Error : LogLevel::Info;
}

void AddIdentity(std::vector<SettingSpec>& aOut)
{
  aOut.push_back(
    TextSpec("instance_id",
             false,
             "Identity of this process, unique for each start. Made by the daemon when absent.",
             [](auto& aSettings, auto& aValue) { aSettings.instanceId = aValue.text; }));
  aOut.push_back(
    TextSpec("region", true, "Region of this instance.", [](auto& aSettings, auto& aValue) {
      aSettings.region = aValue.text;
    }));
  aOut.push_back(TextSpec(
    "failure_domain", true, "Failure domain of this instance.", [](auto& aSettings, auto& aValue) {
      aSettings.failureDomain = aValue.text;
    }));
  aOut.push_back(IntegerSpec("seats",
                             1,
                             64,
                             "7",
                             "",
                             "Entry instances of the fleet. Must be the same on all of them.",
                             [](auto& aSettings, auto& aValue) {
                               aSettings.seats = static_cast<std::uint32_t>(aValue.integer);
                             }));
}

void AddAddresses(std::vector<SettingSpec>& aOut)
{
  auto addPort = [&aOut](std::string aPath,
                         std::string aDefault,
                         std::string aHelp,
                         std::uint16_t ListenSettings::*aField) {
    aOut.push_back(IntegerSpec(std::move(aPath),
                               0,
                               65535,
                               std::move(aDefault),
                               "",
                               std::move(aHelp) + " 0 lets the system choose.",
                               [aField](auto& aSettings, auto& aValue) {
                                 aSettings.listen.*aField =
                                   static_cast<std::uint16_t>(aValue.integer);
                               }));
  };
  aOut.push_back(
    TypedSpec(SettingType::Address,
              "listen.address",
              false,
              "\"0.0.0.0\"",
              "Interface to listen on; 0.0.0.0 means all.",
              [](auto& aSettings, auto& aValue) { aSettings.listen.address = aValue.text; }));
  addPort("listen.http_port", "7400", "Port for callers.", &ListenSettings::httpPort);
  addPort("listen.operators_port", "7401", "Port for operators.", &ListenSettings::operatorsPort);
  addPort("listen.rpc_port", "7402", "Port for other instances.", &ListenSettings::rpcPort);
  aOut.push_back(
    TypedSpec(SettingType::Address,
              "advertised_address",
              false,
              "",
              "Address that other instances use. Taken from listen.address when absent, so it is "
              "required when that is 0.0.0.0.",
              [](auto& aSettings, auto& aValue) { aSettings.advertisedAddress = aValue.text; }));
}

void AddPlatform(std::vector<SettingSpec>& aOut)
{
  aOut.push_back(TypedSpec(SettingType::EndpointList,
                           "store.endpoints",
                           true,
                           "",
                           "Endpoints of the key-value store, tried in this order.",
                           [](auto& aSettings, auto& aValue) {
                             for (const JsonValue& item : aValue.items) {
                               aSettings.storeEndpoints.push_back(ToEndpoint(item));
                             }
                           }));
  aOut.push_back(IntegerSpec(
    "store.timeout_ms",
    10,
    60000,
    "1000",
    "ms",
    "Time after which a call of the store has failed.",
    [](auto& aSettings, auto& aValue) { aSettings.storeTimeout = ToMilliseconds(aValue); }));
  aOut.push_back(TypedSpec(
    SettingType::Endpoint,
    "directory.endpoint",
    true,
    "",
    "Endpoint of the platform's list of instances.",
    [](auto& aSettings, auto& aValue) { aSettings.directoryEndpoint = ToEndpoint(aValue); }));
  aOut.push_back(IntegerSpec("directory.poll_interval_ms",
                             50,
                             60000,
                             "1000",
                             "ms",
                             "Time between two reads of the list of instances.",
                             [](auto& aSettings, auto& aValue) {
                               aSettings.directoryPollInterval = ToMilliseconds(aValue);
                             }));
  // At most 5 s: a task lease lasts 15 s and is renewed every 5 s, so a longer interval would miss
  // renewals.
  aOut.push_back(IntegerSpec(
    "workers.sync_interval_ms",
    50,
    5000,
    "1000",
    "ms",
    "Time between two exchanges with a worker that has nothing to be told.",
    [](auto& aSettings, auto& aValue) { aSettings.workerSyncInterval = ToMilliseconds(aValue); }));
}

void AddSecrets(std::vector<SettingSpec>& aOut)
{
  aOut.push_back(TypedSpec(
    SettingType::Digest,
    "operators.key_digest",
    false,
    "",
    "SHA-256 of the operators' key. Either this or operators.key_digest_file is required.",
    [](auto& aSettings, auto& aValue) { aSettings.operatorKeyDigest = aValue.text; }));
  aOut.push_back(
    TextSpec("operators.key_digest_file",
             false,
             "File that holds the SHA-256 of the operators' key in hexadecimal.",
             [](auto& aSettings, auto& aValue) { aSettings.operatorKeyDigestFile = aValue.text; }));
  aOut.push_back(
    TextSpec("instances.secret_file",
             true,
             "File that holds the secret shared by the instances.",
             [](auto& aSettings, auto& aValue) { aSettings.instanceSecretFile = aValue.text; }));
  aOut.push_back(
    TextSpec("tls.certificate_file",
             false,
             "Certificate for callers and operators. Without it they are served without TLS.",
             [](auto& aSettings, auto& aValue) { aSettings.tlsCertificateFile = aValue.text; }));
  aOut.push_back(
    TextSpec("tls.key_file",
             false,
             "Private key of the certificate; required with it.",
             [](auto& aSettings, auto& aValue) { aSettings.tlsKeyFile = aValue.text; }));
}

void AddLimits(std::vector<SettingSpec>& aOut)
{
  aOut.push_back(IntegerSpec(
    "limits.body_bytes",
    1024,
    67108864,
    "1048576",
    "bytes",
    "Largest body of a request.",
    [](auto& aSettings, auto& aValue) { aSettings.limits.bodyBytes = aValue.integer; }));
  aOut.push_back(IntegerSpec(
    "limits.header_bytes",
    1024,
    1048576,
    "16384",
    "bytes",
    "Largest header of a request.",
    [](auto& aSettings, auto& aValue) { aSettings.limits.headerBytes = aValue.integer; }));
  aOut.push_back(IntegerSpec(
    "limits.connections",
    1,
    65536,
    "4096",
    "",
    "Connections served at once; at most 96 of callers and 16 of operators, further ones wait.",
    [](auto& aSettings, auto& aValue) {
      aSettings.limits.connections = static_cast<std::uint32_t>(aValue.integer);
    }));
  aOut.push_back(IntegerSpec("limits.header_timeout_ms",
                             100,
                             600000,
                             "10000",
                             "ms",
                             "Time within which a whole request header must arrive.",
                             [](auto& aSettings, auto& aValue) {
                               aSettings.limits.headerTimeout = ToMilliseconds(aValue);
                             }));
  aOut.push_back(IntegerSpec(
    "limits.idle_timeout_ms",
    100,
    3600000,
    "60000",
    "ms",
    "Time after which a connection without a request is closed; at most 5 s.",
    [](auto& aSettings, auto& aValue) { aSettings.limits.idleTimeout = ToMilliseconds(aValue); }));
  aOut.push_back(ChoiceSpec(
    "log.level",
    { "info", "debug", "warning", "error" },
    "Lowest severity written to the log.",
    [](auto& aSettings, auto& aValue) { aSettings.logLevel = ToLogLevel(aValue.text); }));
}

void AddPolicy(std::vector<SettingSpec>& aOut)
{
  aOut.push_back(ChoiceSpec("policy.preset",
                            { "waiting_time", "packing" },
                            "Preset that gives all policy values not set here.",
                            [](auto& aSettings, auto& aValue) {
                              aSettings.policy.preset = aValue.text == "packing"
                                                          ? PolicyPreset::Packing
                                                          : PolicyPreset::WaitingTime;
                            }));
  aOut.push_back(WeightSpec(
    "policy.packing_weight",
    "Weight of tight packing in the score of a worker.",
    [](auto& aSettings, auto& aValue) { aSettings.policy.packingWeight = aValue.number; }));
  aOut.push_back(WeightSpec(
    "policy.spread_weight",
    "Weight of spreading a job over failure domains and racks.",
    [](auto& aSettings, auto& aValue) { aSettings.policy.spreadWeight = aValue.number; }));
  aOut.push_back(WeightSpec(
    "policy.accelerator_weight",
    "Weight of keeping accelerators whole for tasks that need many.",
    [](auto& aSettings, auto& aValue) { aSettings.policy.acceleratorWeight = aValue.number; }));
  aOut.push_back(IntegerSpec(
    "policy.urgent_target_ms",
    100,
    600000,
    "",
    "ms",
    "Target for the start of urgent work.",
    [](auto& aSettings, auto& aValue) { aSettings.policy.urgentTarget = ToMilliseconds(aValue); }));
  aOut.push_back(IntegerSpec("policy.debt_half_life_s",
                             1,
                             86400,
                             "",
                             "s",
                             "Time after which the debt owed to a team that waited has halved.",
                             [](auto& aSettings, auto& aValue) {
                               aSettings.policy.debtHalfLife = std::chrono::seconds(aValue.integer);
                             }));
  aOut.push_back(IntegerSpec(
    "policy.stop_grace_ms",
    0,
    600000,
    "",
    "ms",
    "Time that a task gets to end by itself when it is stopped.",
    [](auto& aSettings, auto& aValue) { aSettings.policy.stopGrace = ToMilliseconds(aValue); }));
  aOut.push_back(IntegerSpec("policy.refill_starts_per_s",
                             1,
                             100000,
                             "",
                             "1/s",
                             "Starts in one failure domain while it refills after its return.",
                             [](auto& aSettings, auto& aValue) {
                               aSettings.policy.refillStartsPerSecond =
                                 static_cast<std::uint32_t>(aValue.integer);
                             }));
  aOut.push_back(IntegerSpec(
    "policy.poison_worker_count",
    1,
    100,
    "",
    "",
    "Different workers on which a task must fail before its job is held to be at fault.",
    [](auto& aSettings, auto& aValue) {
      aSettings.policy.poisonWorkerCount = static_cast<std::uint32_t>(aValue.integer);
    }));
}

std::string DescribeType(const SettingSpec& aSpec)
{
  switch (aSpec.type) {
    case SettingType::Text:
      return "text";
    case SettingType::Integer:
      return "integer";
    case SettingType::Number:
      return "number";
    case SettingType::Address:
      return "IPv4 number";
    case SettingType::Endpoint:
      return "IP:PORT";
    case SettingType::EndpointList:
      return "list of IP:PORT";
    case SettingType::Digest:
      return "64 hexadecimal digits";
    case SettingType::Choice:
      break;
  }
  std::string text;
  for (const std::string& choice : aSpec.choices) {
    text += (text.empty() ? "" : ", ") + choice;
  }
  return text;
}

std::string DescribeRange(const SettingSpec& aSpec)
{
  if (aSpec.type != SettingType::Integer && aSpec.type != SettingType::Number) {
    return "";
  }
  return std::to_string(static_cast<long long>(aSpec.minimum)) + " to " +
         std::to_string(static_cast<long long>(aSpec.maximum));
}

} // namespace

const std::vector<SettingSpec>& DaemonSettingsSchema()
{
  static const std::vector<SettingSpec> sSchema = [] {
    std::vector<SettingSpec> schema;
    AddIdentity(schema);
    AddAddresses(schema);
    AddPlatform(schema);
    AddSecrets(schema);
    AddLimits(schema);
    AddPolicy(schema);
    return schema;
  }();
  return sSchema;
}

std::string DescribeSettings()
{
  std::string page =
    "# Settings of daisydriftd\n\n"
    "The settings file is JSON; `//` and `/* */` comments are allowed. A path such as "
    "`listen.http_port` is the\nkey `http_port` in the object `listen`. This page is made "
    "from the schema in the package `settings`.\n\n"
    "| path | type | range | unit | default | meaning |\n|---|---|---|---|---|---|\n";
  for (const SettingSpec& spec : DaemonSettingsSchema()) {
    std::string defaultValue = spec.isRequired ? "required" : spec.defaultText;
    page += "| `" + spec.path + "` | " + DescribeType(spec) + " | " + DescribeRange(spec) + " | " +
            spec.unit + " | " + defaultValue + " | " + spec.help + " |\n";
  }
  return page;
}

} // namespace daisydrift
