#pragma once
// JSON form of jobs, as callers submit them.

#include "daisydrift/core.h"

#include <optional>
#include <string>

namespace daisydrift {

/// Largest body of a submission, bytes.
constexpr std::size_t kMaxSubmissionBytes = 64 * 1024;
/// Largest number of tasks of one job.
constexpr std::uint32_t kMaxTasksPerJob = 20'000;

/// A submission after its checks.
struct JobSubmission
{
  /// Number and team are not set yet.
  JobSpec spec;
  /// Handed to the worker unchanged, as JSON text.
  std::string payload;
};

/// Reads the body of a submission. All problems are added to aFindings with line and column 1-based
/// where known; returns nothing when there are any.
std::optional<JobSubmission> ParseJobSubmission(const std::string& aBody, Findings& aFindings);

/// Public name of a job: `REGION-NUMBER`.
std::string FormatJobId(const std::string& aRegion, JobNumber aJob);

/// Reads the public name of a job; returns false when malformed.
bool ParseJobId(const std::string& aText, std::string& aRegion, JobNumber& aJob);

/// Lower-case names used in JSON.
const char* NameOf(WorkClass aClass);
const char* NameOf(JobState aState);
const char* NameOf(StopReason aReason);
const char* NameOf(AttemptOutcome aOutcome);

} // namespace daisydrift
