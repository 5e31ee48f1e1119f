#pragma once
// Events of a recorded history and their text form.
//
// One event per line, either key=value pairs separated by spaces (values with spaces are quoted as
// in log lines) or one flat JSON object. Empty lines and lines that start with # are skipped. Every
// event has `event` and `at_ms`: milliseconds, with an optional fraction, on one clock shared by
// all recorders. Events are ordered by time and, at equal times, by line. `note` is allowed on
// every event. Optional keys are in brackets.
//
// Seen by workers:
//   worker          worker failure_domain milli_cores memory_mib accelerators (capacity; again when
//                   it changes)
//   worker_gone     worker (all its tasks ended: restarted, or taken away by the platform)
//   task_start      worker attempt team milli_cores memory_mib accelerators [region] [repeatable]
//                   [submission]
//   task_resized    worker attempt milli_cores memory_mib accelerators [region]
//   task_end        worker attempt [region]
// Seen by upstreams:
//   upstream        upstream slots connections (capacity)
//   upstream_start  upstream request
//   upstream_end    upstream request [answer] (answer: a token that is unique for the answer)
//   connection_open, connection_close   upstream connection
// Seen by callers:
//   submission      submission verdict=accepted|refused|unknown [team] [key] [queue] [outcome]
//   request_sent    request repeatable [instance] [team] [key] [queue]
//   request_answered  request status outcome=ran|not_run|unknown complete [answer]
//   request_broken  request [instance] (the connection ended without a response)
// Seen by operators and the platform:
//   key_issued      key team
//   key_revoked     key
//   queue           queue open (whether work is accepted from everyone)
//   ceiling         team tasks milli_cores memory_mib accelerators (accepted at this time)
//   domain_drained, domain_returned     domain
//   upstream_leaving, upstream_returned upstream
//   edit_accepted   version [digest]
// Seen at instances:
//   instance_started, instance_stop_planned, instance_stopped, instance_crashed   instance
//   instance_suspended, instance_resumed   instance (accepts no keyed work in between)
//   config_in_force instance version [digest]
//   end             (the recording is complete: what has no answer by now never gets one)

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

/// One event. The parser has checked that required keys are present and all values well-formed.
struct HistoryEvent
{
  unsigned line = 0;
  /// Time since the start of the recorders' clock.
  Duration at{ 0 };
  std::string kind;
  std::vector<HistoryField> fields;

  /// Value of a key; null when absent.
  const std::string* Find(std::string_view aKey) const;
  /// Value of a key; empty when absent.
  const std::string& Text(std::string_view aKey) const;
  /// Whole number; 0 when absent.
  std::int64_t Number(std::string_view aKey) const;
  /// True when the value is `true`.
  bool Flag(std::string_view aKey) const;
  /// The keys milli_cores, memory_mib and accelerators.
  Resources Amounts() const;
};

/// Parses a history. Malformed lines are left out and reported with line and column. aSource names
/// the input in the findings. The result is ordered by time.
std::vector<HistoryEvent> ParseHistory(std::string_view aText,
                                       const std::string& aSource,
                                       Findings& aFindings);

} // namespace daisydrift
