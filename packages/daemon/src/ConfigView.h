#pragma once
// Immutable configuration, shared by the threads of a daemon.

#include "daisydrift/config.h"

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

private:
  ConfigDocument document;
  KeyIndex keys;
};

} // namespace daisydrift
