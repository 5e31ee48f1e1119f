#pragma once
// Report of stored entries and of calls between instances that can't be decoded.

#include "daisydrift/base.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace daisydrift::coordination {

/// Counts what can't be decoded, and logs it once, so that operators find its writer. Reasons must
/// not hold values of the document.
class UnreadableEntries
{
public:
  explicit UnreadableEntries(Metrics& aMetrics)
    : metrics(aMetrics)
  {
  }

  /// Reports an entry of the store, once for each revision.
  /// @param aSource Kind of entry, a label of the metric.
  void AddEntry(const char* aSource,
                const std::string& aKey,
                std::uint64_t aRevision,
                const std::string& aReason);
  /// Reports a call from another instance; each reason is logged once for each method.
  void AddCall(const std::string& aMethod, const std::string& aReason);
  /// The same for an answer of another instance.
  void AddAnswer(const std::string& aMethod, const std::string& aReason);

private:
  void AddMessage(const char* aEvent,
                  const char* aMetric,
                  const std::string& aMethod,
                  const std::string& aReason);

  Metrics& metrics;
  /// Last reported revision by key.
  std::map<std::string, std::uint64_t> entries;
  /// Messages that were logged.
  std::set<std::string> messages;
};

} // namespace daisydrift::coordination
