#pragma once
// Immutable configuration, shared by the threads of a daemon.

#include "daisydrift/config.h"

#include <mutex>

namespace daisydrift {

/// A configuration document with an index of its API keys.
class ConfigView : public RefCounted<ConfigView>
{
public:
  explicit ConfigView(ConfigDocument aDocument)
    : document(std::move(aDocument))
    , keys(this->document)
  {
  }

  const ConfigDocument& Document() const { return this->document; }
  /// Finds the team of an API key and checks at the current wall-clock time whether it is valid.
  Authentication Authenticate(std::string_view aKey) const
  {
    return this->keys.Authenticate(
      aKey, std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now()));
  }

  /// The document as text. It is encoded once, since each instance that lags asks for it.
  const std::string& Encoded() const
  {
    std::call_once(this->isEncoded, [this] { this->encoded = EncodeConfig(this->document); });
    return this->encoded;
  }

private:
  ConfigDocument document;
  KeyIndex keys;
  mutable std::once_flag isEncoded;
  mutable std::string encoded;
};

} // namespace daisydrift
