#pragma once
// Settings of one daemon.

#include "daisydrift/base.h"
#include "daisydrift/external.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Address and ports on which the daemon listens.
struct ListenSettings
{
  /// IPv4 address of the interface; 0.0.0.0 means all.
  std::string address;
  /// Port for callers (HTTP).
  std::uint16_t httpPort = 0;
  /// Port for operators (HTTP).
  std::uint16_t operatorsPort = 0;
  /// Port for other instances (RPC).
  std::uint16_t rpcPort = 0;
};

/// Limits for connections of callers and operators.
struct LimitSettings
{
  std::uint64_t bodyBytes = 0;
  std::uint64_t headerBytes = 0;
  std::uint32_t connections = 0;
  /// Time within which a complete request header must arrive.
  std::chrono::milliseconds headerTimeout{ 0 };
  /// Time after which a connection without a request is closed.
  std::chrono::milliseconds idleTimeout{ 0 };
};

/// Preset of the scheduling policy.
enum class PolicyPreset
{
  /// Favours short waiting times and little disruption when a failure domain is lost.
  WaitingTime,
  /// Favours dense packing and close adherence to fair shares.
  Packing
};

/// Scheduling policy: a preset and values that override it. An absent value is taken from the
/// preset.
struct PolicyChoice
{
  PolicyPreset preset = PolicyPreset::WaitingTime;
  std::optional<double> packingWeight;
  std::optional<double> spreadWeight;
  std::optional<double> acceleratorWeight;
  /// Target for the time until urgent work starts.
  std::optional<std::chrono::milliseconds> urgentTarget;
  /// Time after which the debt owed to a team that had to wait has halved.
  std::optional<std::chrono::seconds> debtHalfLife;
  /// Time that a stopped task has to exit by itself.
  std::optional<std::chrono::milliseconds> stopGrace;
  /// Largest number of starts per second in a failure domain that has returned to service.
  std::optional<std::uint32_t> refillStartsPerSecond;
  /// Number of different workers on which a task must fail before its job is considered faulty.
  std::optional<std::uint32_t> poisonWorkerCount;
};

/// All settings of a daemon. The schema (SettingsSchema.h) defines units, ranges and defaults.
struct DaemonSettings
{
  /// When empty, the daemon generates one at startup.
  std::string instanceId;
  std::string region;
  FailureDomain failureDomain;
  ListenSettings listen;
  /// IPv4 address that other instances and the load balancer use; never 0.0.0.0 when loading
  /// reported no findings.
  std::string advertisedAddress;
  std::vector<Endpoint> storeEndpoints;
  std::chrono::milliseconds storeTimeout{ 0 };
  Endpoint directoryEndpoint;
  std::chrono::milliseconds directoryPollInterval{ 0 };
  /// Number of seats: the largest number of entry instances that can be active. The same on all
  /// instances.
  std::uint32_t seats = 0;
  /// SHA-256 of the operators' key in lower-case hexadecimal; empty when operatorKeyDigestFile is
  /// set.
  std::string operatorKeyDigest;
  /// File that contains the digest; empty when operatorKeyDigest is set.
  std::string operatorKeyDigestFile;
  /// File that contains the secret shared by the instances.
  std::string instanceSecretFile;
  /// Files of the TLS certificate and its private key; both or neither are set.
  std::string tlsCertificateFile;
  std::string tlsKeyFile;
  LimitSettings limits;
  LogLevel logLevel = LogLevel::Info;
  PolicyChoice policy;
  std::chrono::milliseconds workerSyncInterval{ 0 };
};

/// Reads settings. All errors are added to aFindings with line and column; use the result only when
/// there are none. aSource names the file in findings. Codes: those of ReadJson and ObjectReader,
/// "bad_value" and "conflicting_keys".
DaemonSettings LoadDaemonSettings(const std::string& aText,
                                  const std::string& aSource,
                                  Findings& aFindings);

} // namespace daisydrift
