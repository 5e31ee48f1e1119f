#pragma once
// One entry instance: everything between callers and the platform.

#include "daisydrift/settings.h"

#include <memory>
#include <string>

namespace daisydrift {

/// Secrets read from the files that the settings name.
struct DaemonSecrets
{
  /// SHA-256 of the operators' key, lower-case hexadecimal.
  std::string operatorKeyDigest;
  /// Secret shared by the instances.
  std::string instanceSecret;
};

/// Reads the files of secrets. Problems are added to aFindings.
DaemonSecrets LoadSecrets(const DaemonSettings& aSettings, Findings& aFindings);

/// Runs an entry instance. Methods are called by one thread.
class Daemon
{
public:
  Daemon(DaemonSettings aSettings, DaemonSecrets aSecrets);
  ~Daemon();

  /// Binds all ports and starts. Problems are added to aFindings; returns false when there are any.
  bool Start(Findings& aFindings);
  /// Graceful stop: hands the leadership over, finishes the requests under way, leaves the seat,
  /// and returns.
  void Stop();
  /// Reads the certificate and its key again.
  void ReloadCertificate();

private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

} // namespace daisydrift
