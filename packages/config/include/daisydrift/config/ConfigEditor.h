#pragma once
// Reads and edits the configuration document in the store.

#include "daisydrift/config/Edits.h"
#include "daisydrift/external.h"

#include <functional>

namespace daisydrift {

/// Store key of the document.
inline const std::string kConfigKey = "config/current";

/// The document as read from the store.
struct ConfigSnapshot
{
  ConfigDocument document;
  /// Revision of the store key; 0 when the store key is absent, so that the document is empty.
  Revision revision = 0;
};

/// Applies edits by compare-and-swap. Stateless apart from its options, so any number of editors in
/// any number of processes may run concurrently.
class ConfigEditor
{
public:
  /// Limits of store calls, and hooks for clock and delay.
  struct Options
  {
    /// Timeout of each store call.
    std::chrono::milliseconds timeout{ 1000 };
    /// Attempts to read and write the document before the editor returns an error.
    unsigned maxAttempts = 16;
    /// Wall-clock time for audit entries.
    std::function<WallTime()> now;
    /// Called before each retry with the number of the retry, from 1; sleeps with jitter.
    std::function<void(unsigned)> backoff;
  };

  /// aStore must outlive the editor. Empty hooks get defaults: the system clock, and a delay with
  /// full jitter whose maximum doubles with each retry from 20 ms to 320 ms.
  ConfigEditor(Store& aStore, Options aOptions);

  /// Reads and validates the document; it is empty when its store key is absent. Errors: those of
  /// Store::Get except NotFound, and Corrupt (the document is invalid).
  Result<ConfigSnapshot> Read() const;

  /// Applies a request by the rules of ApplyEdits. The request is applied at most once, even when
  /// this is called again with it. Errors: Conflict, InvalidArgument, Corrupt, Unreachable and
  /// Overloaded (not applied), OutcomeUnknown (call again with the same request).
  EditOutcome Apply(const EditRequest& aRequest) const;

private:
  /// A write whose response was lost, identified by the version that it would create.
  struct UnconfirmedWrite
  {
    ConfigVersion version = 0;
  };

  /// Reads the document, applies the request and writes it once; none means that the caller must
  /// retry.
  std::optional<EditOutcome> TryApply(const EditRequest& aRequest,
                                      std::optional<UnconfirmedWrite>& aUnconfirmedWrite) const;
  /// Writes the audit chunk that is due for aDocument, if any.
  std::error_code WriteChunk(const ConfigDocument& aDocument) const;

  Store& store;
  Options options;
};

} // namespace daisydrift
