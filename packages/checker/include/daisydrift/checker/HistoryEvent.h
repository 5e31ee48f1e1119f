#pragma once
// Events of a recorded history and their text form.
//
// Each line is one event: either key=value pairs separated by spaces (values with spaces are quoted
// as in log lines) or one flat JSON object. Empty lines and lines that start with # are skipped.
// Every event has the keys `event` and `at_ms`: milliseconds, with an optional fraction, on one
// clock shared by all recorders. Events are ordered by time and, at equal times, by line. The key
// `note` is allowed in every event. Optional keys are in brackets.
//
// Recorded by workers:
//   worker          worker failure_domain milli_cores memory_mib accelerators (capacity;
//                   recorded again after a change)
//   worker_gone     worker (restarted or removed by the platform, so all its tasks ended)
//   task_start      worker attempt team milli_cores memory_mib accelerators [region] [repeatable]
//                   [submission]
//   task_resized    worker attempt milli_cores memory_mib accelerators [region]
//   task_end        worker attempt [region]
// Recorded by upstreams:
//   upstream        upstream slots connections (capacity)
//   upstream_start  upstream request
//   upstream_end    upstream request [answer] (answer: a token unique to the response)
//   connection_open, connection_close   upstream connection
// Recorded by callers:
//   submission      submission verdict=accepted|refused|unknown [team] [key] [queue] [outcome]
//   request_sent    request repeatable [instance] [team] [key] [queue]
//   request_answered  request status outcome=ran|not_run|unknown complete [answer]
//   request_broken  request [instance] (the connection ended without a response)
// Recorded by operators and the platform:
//   key_issued      key team
//   key_revoked     key
//   queue           queue open (whether the queue accepts work from everyone)
//   ceiling         team tasks milli_cores memory_mib accelerators (when the edit was accepted)
//   domain_drained, domain_returned     domain
//   upstream_leaving, upstream_returned upstream
//   edit_accepted   version [digest]
// Recorded at instances:
//   instance_started, instance_stop_planned, instance_stopped, instance_crashed   instance
//   instance_suspended, instance_resumed   instance (must not accept authenticated
//                   requests in between)
//   config_in_force instance version [digest]
//   end             (the recording is complete: a request without a response never gets one)

#include "daisydrift/base.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisydrift {

/// One key and value of an event.
struct HistoryField
{
  std::string key;
  std::string value;
  /// Column of the key, from 1.
  unsigned column = 0;
};

/// One event. The parser guarantees that all required keys are present and all values well-formed.
struct HistoryEvent
{
  unsigned line = 0;
  /// Time on the clock shared by the recorders.
  Duration at{ 0 };
  std::string kind;
  std::vector<HistoryField> fields;

  /// Value of a key; null when absent.
  const std::string* Find(std::string_view aKey) const;
  /// Value of a key; "" when absent.
  const std::string& Text(std::string_view aKey) const;
  /// Value of an integer key; 0 when absent.
  std::int64_t Number(std::string_view aKey) const;
  /// True when the value of the key is `true`; false when absent.
  bool Flag(std::string_view aKey) const;
  /// Values of the keys milli_cores, memory_mib and accelerators.
  Resources ResourceAmounts() const;
};

/// Parses a history. Malformed lines are skipped and reported in aFindings with line and column,
/// under the name aSource. The result is ordered by time.
std::vector<HistoryEvent> ParseHistory(std::string_view aText,
                                       const std::string& aSource,
                                       Findings& aFindings);

} // namespace daisydrift
