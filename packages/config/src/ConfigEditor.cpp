#include "daisydrift/config/ConfigEditor.h"

#include "daisydrift/config/Audit.h"
#include "daisydrift/config/ConfigCodec.h"

#include <algorithm>
#include <random>
#include <thread>

namespace daisydrift {

namespace {

/// Sleeps with full jitter; the maximum doubles with each retry from 20 ms to 320 ms.
void SleepWithJitter(unsigned aRetry)
{
  thread_local std::minstd_rand sRandom{ std::random_device{}() };
  constexpr unsigned kMaxDoublings = 5;
  unsigned maxDelayMs = 10U << std::min(aRetry, kMaxDoublings);
  std::uniform_int_distribution<unsigned> delay(0, maxDelayMs);
  std::this_thread::sleep_for(std::chrono::milliseconds(delay(sRandom)));
}

EditOutcome Failed(std::error_code aError)
{
  EditOutcome outcome;
  outcome.error = aError;
  return outcome;
}

} // namespace

ConfigEditor::ConfigEditor(Store& aStore, Options aOptions)
  : store(aStore)
  , options(std::move(aOptions))
{
  if (!this->options.now) {
    this->options.now = [] {
      return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    };
  }
  if (!this->options.backoff) {
    this->options.backoff = SleepWithJitter;
  }
}

Result<ConfigSnapshot> ConfigEditor::Read() const
{
  Result<StoreEntry> entry = this->store.Get(kConfigKey, this->options.timeout);
  if (!entry) {
    if (entry.Error() == Errc::NotFound) {
      return ConfigSnapshot{};
    }
    return entry.Error();
  }
  Findings findings;
  std::optional<ConfigDocument> document = ParseConfig(entry->value, kConfigKey, findings);
  if (!document) {
    for (const Finding& finding : findings.Items()) {
      LogLine(LogLevel::Error, "config_corrupt")
        .Add("code", finding.code)
        .Add("message", finding.message)
        .Add("revision", entry->revision);
    }
    return Errc::Corrupt;
  }
  return ConfigSnapshot{ std::move(*document), entry->revision };
}

EditOutcome ConfigEditor::Apply(const EditRequest& aRequest) const
{
  std::optional<UnconfirmedWrite> unconfirmedWrite;
  for (unsigned attempt = 0; attempt < this->options.maxAttempts; ++attempt) {
    if (attempt > 0) {
      this->options.backoff(attempt);
    }
    if (std::optional<EditOutcome> outcome = this->TryApply(aRequest, unconfirmedWrite)) {
      return *outcome;
    }
  }
  return Failed(unconfirmedWrite ? Errc::OutcomeUnknown : Errc::Overloaded);
}

std::optional<EditOutcome> ConfigEditor::TryApply(
  const EditRequest& aRequest,
  std::optional<UnconfirmedWrite>& aUnconfirmedWrite) const
{
  Result<ConfigSnapshot> snapshot = this->Read();
  if (!snapshot) {
    // A read has no side effect, so its own lost response does not make the outcome of the edit
    // unknown.
    bool isResponseLost = snapshot.Error() == Errc::OutcomeUnknown;
    if (aUnconfirmedWrite || isResponseLost) {
      return std::nullopt;
    }
    return Failed(snapshot.Error());
  }
  ConfigDocument& document = snapshot->document;
  bool isResolved = aUnconfirmedWrite && document.version >= aUnconfirmedWrite->version;
  if (isResolved && !document.audit.empty() &&
      document.audit.front().version > aUnconfirmedWrite->version) {
    // If the unconfirmed write took effect, its entry is no longer in the tail, so its outcome
    // can't be determined.
    return Failed(Errc::OutcomeUnknown);
  }
  if (isResolved) {
    // The version of the unconfirmed write exists. Either that write took effect, and ApplyEdits
    // below finds its entry, or it never will, because the revision that it expects is gone.
    aUnconfirmedWrite.reset();
  }
  std::error_code chunkError = this->WriteChunk(document);
  if (chunkError == Errc::Corrupt) {
    return Failed(chunkError);
  }
  if (chunkError) {
    bool isNotWritten = chunkError == Errc::Unreachable || chunkError == Errc::Overloaded;
    return isNotWritten && !aUnconfirmedWrite ? std::optional(Failed(chunkError)) : std::nullopt;
  }
  EditOutcome outcome = ApplyEdits(document, aRequest, this->options.now());
  if (aUnconfirmedWrite && !outcome.hasChanged) {
    // The document still has the version on which the unconfirmed write was based. The edits were
    // accepted then, and that write may still take effect.
    return Failed(Errc::OutcomeUnknown);
  }
  if (outcome.error || !outcome.hasChanged) {
    return outcome;
  }
  Result<Revision> written = this->store.CompareAndSwap(
    kConfigKey, EncodeConfig(document), snapshot->revision, 0, this->options.timeout);
  if (written) {
    return outcome;
  }
  if (written.Error() == Errc::OutcomeUnknown) {
    aUnconfirmedWrite = UnconfirmedWrite{ document.version };
    return std::nullopt;
  }
  if (written.Error() == Errc::Conflict || aUnconfirmedWrite) {
    return std::nullopt;
  }
  return Failed(written.Error());
}

std::error_code ConfigEditor::WriteChunk(const ConfigDocument& aDocument) const
{
  std::optional<AuditChunk> chunk = MakeAuditChunk(aDocument);
  if (!chunk) {
    return {};
  }
  Result<Revision> written =
    this->store.CompareAndSwap(chunk->key, chunk->value, 0, 0, this->options.timeout);
  if (written) {
    return {};
  }
  if (written.Error() != Errc::Conflict && written.Error() != Errc::OutcomeUnknown) {
    return written.Error();
  }
  // Another editor may have written the chunk first, or the response was lost. All editors write
  // the same text.
  Result<StoreEntry> present = this->store.Get(chunk->key, this->options.timeout);
  if (!present) {
    return present.Error() == Errc::NotFound ? make_error_code(Errc::OutcomeUnknown)
                                             : present.Error();
  }
  return present->value == chunk->value ? std::error_code() : make_error_code(Errc::Corrupt);
}

} // namespace daisydrift
