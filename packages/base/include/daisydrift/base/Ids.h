#pragma once
// Identifiers. Names come from operators, callers or the platform; numbers are assigned by
// daisydrift.

#include <compare>
#include <cstdint>
#include <string>

namespace daisydrift {

/// Name of a team; unique in the configuration.
using TeamName = std::string;
/// Name of a failure domain.
using FailureDomain = std::string;
/// Identifier of a worker, assigned by the platform.
using WorkerId = std::string;
/// Identifier of an upstream instance, assigned by the platform.
using UpstreamId = std::string;
/// Identifier of an entry instance (a daemon process); a new one for each process start.
using InstanceId = std::string;

/// Number of a job; unique and increasing within a region. 0 means "none".
using JobNumber = std::uint64_t;
/// Leadership epoch of a region; each new leader has a higher one. 0 means "none".
using Epoch = std::uint64_t;

/// One task of a job.
struct TaskId
{
  JobNumber job = 0;
  /// Index of the task in its job, counted from 0.
  std::uint32_t index = 0;

  auto operator<=>(const TaskId&) const = default;
};

/// One attempt to run a task. A task has at most one attempt at a time.
struct AttemptId
{
  TaskId task;
  /// Counts from 1 for each task.
  std::uint32_t attempt = 0;

  auto operator<=>(const AttemptId&) const = default;
};

/// Formats an attempt as `job.index.attempt`, used in logs and in the worker protocol.
std::string ToString(const AttemptId& aId);

/// Parses the format of ToString; returns false and leaves aOut unchanged when aText is malformed.
bool ParseAttemptId(const std::string& aText, AttemptId& aOut);

} // namespace daisydrift
