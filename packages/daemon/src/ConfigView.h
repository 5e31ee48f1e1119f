#pragma once
// An immutable configuration shared by the threads of a daemon.

#include "daisydrift/config.h"

namespace daisydrift {

/// A configuration document with the index of its keys.
class ConfigView : public RefCounted<ConfigView>
{
public:
  explicit ConfigView(ConfigDocument aDocument)
    : document(std::move(aDocument))
    , keys(this->document)
  {
  }

  const ConfigDocument& Document() const { return this->document; }
  /// Finds the team of a key now, by the wall clock.
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
