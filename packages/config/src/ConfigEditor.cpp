#include "daisydrift/config/ConfigEditor.h"

#include "daisydrift/config/Audit.h"
#include "daisydrift/config/ConfigCodec.h"

#include <algorithm>
#include <random>
#include <thread>

namespace daisydrift {

namespace {

/// Sleeps with full jitter, at most 10 ms doubled for each repetition up to 320 ms.
void PauseWithJitter(unsigned aRepetition)
{
  thread_local std::minstd_rand sRandom{ std::random_device{}() };
  constexpr unsigned kLongestDoubling = 5;
  unsigned longest = 10U << std::min(aRepetition, kLongestDoubling);
  std::uniform_int_distribution<unsigned> delay(0, longest);
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
  if (!this->options.pause) {
    this->options.pause = PauseWithJitter;
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
  std::optional<Doubt> doubt;
  for (unsigned attempt = 0; attempt < this->options.maxAttempts; ++attempt) {
    if (attempt > 0) {
      this->options.pause(attempt);
    }
    if (std::optional<EditOutcome> outcome = this->TryOnce(aRequest, doubt)) {
      return *outcome;
    }
  }
  return Failed(doubt ? Errc::OutcomeUnknown : Errc::Overloaded);
}

std::optional<EditOutcome> ConfigEditor::TryOnce(const EditRequest& aRequest,
                                                 std::optional<Doubt>& aDoubt) const
{
  Result<ConfigSnapshot> snapshot = this->Read();
  if (!snapshot) {
    // A read has no effect, so its own lost answer leaves no doubt about the edit.
    bool isLost = snapshot.Error() == Errc::OutcomeUnknown;
    if (aDoubt || isLost) {
      return std::nullopt;
    }
    return Failed(snapshot.Error());
  }
  ConfigDocument& document = snapshot->document;
  bool isSettled = aDoubt && document.version >= aDoubt->version;
  if (isSettled && !document.audit.empty() && document.audit.front().version > aDoubt->version) {
    // The entry that the lost write would have made is no longer in the tail.
    return Failed(Errc::OutcomeUnknown);
  }
  if (isSettled) {
    // The version that the lost write would have made exists: the write has taken effect, and its
    // entry is found below, or it can't any more, because the revision it expected is gone.
    aDoubt.reset();
  }
  std::error_code chunkError = this->WriteChunk(document);
  if (chunkError == Errc::Corrupt) {
    return Failed(chunkError);
  }
  if (chunkError) {
    bool isNotDone = chunkError == Errc::Unreachable || chunkError == Errc::Overloaded;
    return isNotDone && !aDoubt ? std::optional(Failed(chunkError)) : std::nullopt;
  }
  EditOutcome outcome = ApplyEdits(document, aRequest, this->options.now());
  if (aDoubt && !outcome.hasChanged) {
    // The document is as it was before the lost write, which was accepted then.
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
    aDoubt = Doubt{ document.version };
    return std::nullopt;
  }
  if (written.Error() == Errc::Conflict || aDoubt) {
    return std::nullopt;
  }
  return Failed(written.Error());
}

std::error_code ConfigEditor::WriteChunk(const ConfigDocument& aDocument) const
{
  std::optional<AuditChunk> chunk = SpillAudit(aDocument);
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
  // Another editor may have been first, or the answer was lost. All of them write the same text.
  Result<StoreEntry> present = this->store.Get(chunk->key, this->options.timeout);
  if (!present) {
    return present.Error() == Errc::NotFound ? make_error_code(Errc::OutcomeUnknown)
                                             : present.Error();
  }
  return present->value == chunk->value ? std::error_code() : make_error_code(Errc::Corrupt);
}

} // namespace daisydrift
