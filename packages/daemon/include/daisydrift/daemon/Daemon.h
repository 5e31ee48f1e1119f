#pragma once
// The daemon of one entry instance.

#include "daisydrift/settings.h"

#include <memory>
#include <string>

namespace daisydrift {

/// Secrets of an instance, read from the files named in the settings.
struct DaemonSecrets
{
  /// SHA-256 of the operators' key in lower-case hexadecimal; empty when no key is configured.
  std::string operatorKeyDigest;
  /// Secret with which the instances authenticate each other.
  std::string instanceSecret;
};

/// Reads the secrets from their files. Adds a finding for each file that can't be read or is empty.
DaemonSecrets LoadSecrets(const DaemonSettings& aSettings, Findings& aFindings);

/// Runs an entry instance: HTTP interfaces, request routing, membership and leadership of a region.
/// Not thread-safe; all methods must be called from one thread.
class Daemon
{
public:
  Daemon(DaemonSettings aSettings, DaemonSecrets aSecrets);
  ~Daemon();

  /// Binds all ports and starts all threads. On failure adds a finding and returns false; threads
  /// may be running then.
  bool Start(Findings& aFindings);
  /// Shuts down gracefully: steps down from the leadership, completes the requests in progress and
  /// releases the seat. Blocks until everything has stopped.
  void Stop();
  /// Reloads the TLS certificate and its key; no effect without TLS.
  void ReloadCertificate();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace daisydrift
