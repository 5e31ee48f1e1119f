#include "UnreadableEntries.h"

namespace daisydrift::coordination {

namespace {
/// Entries and messages that are remembered; bounds the memory.
constexpr std::size_t kMaxRemembered = 1024;
/// Bounds the length of a log line.
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kMaxReasonBytes = 200;
} // namespace

void UnreadableEntries::AddEntry(const char* aSource,
                                 const std::string& aKey,
                                 std::uint64_t aRevision,
                                 const std::string& aReason)
{
  auto known = this->entries.find(aKey);
  if (known != this->entries.end() && known->second == aRevision) {
    return;
  }
  if (this->entries.size() >= kMaxRemembered) {
    this->entries.clear();
  }
  this->entries[aKey] = aRevision;
  this->metrics.Count(std::string("entries_unreadable_total{source=\"") + aSource + "\"}");
  LogLine(LogLevel::Error, "entry_unreadable")
    .Add("source", aSource)
    .Add("key", aKey.substr(0, kMaxKeyBytes))
    .Add("revision", aRevision)
    .Add("reason", aReason.substr(0, kMaxReasonBytes));
}

void UnreadableEntries::AddCall(const std::string& aMethod, const std::string& aReason)
{
  this->AddMessage("peer_call_unreadable", "peer_calls_unreadable_total", aMethod, aReason);
}

void UnreadableEntries::AddAnswer(const std::string& aMethod, const std::string& aReason)
{
  this->AddMessage("peer_answer_unreadable", "peer_answers_unreadable_total", aMethod, aReason);
}

void UnreadableEntries::AddMessage(const char* aEvent,
                                   const char* aMetric,
                                   const std::string& aMethod,
                                   const std::string& aReason)
{
  this->metrics.Count(aMetric);
  if (this->messages.size() >= kMaxRemembered) {
    this->messages.clear();
  }
  if (this->messages.insert(std::string(aEvent) + " " + aMethod + " " + aReason).second) {
    LogLine(LogLevel::Warning, aEvent)
      .Add("method", aMethod)
      .Add("reason", aReason.substr(0, kMaxReasonBytes));
  }
}

} // namespace daisydrift::coordination
