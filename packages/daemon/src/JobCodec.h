#pragma once
// Parses job submissions in JSON and converts job ids and enumerators to text.

#include "daisydrift/core.h"

#include <optional>
#include <string>

namespace daisydrift {

/// Maximum size of the body of a submission, bytes.
constexpr std::size_t kMaxSubmissionBytes = 64 * 1024;
/// Maximum number of tasks of one job.
constexpr std::uint32_t kMaxTasksPerJob = 20'000;

/// A valid submission.
struct JobSubmission
{
  /// The job's specification; its number and team are not set.
  JobSpec spec;
  /// JSON text that the worker gets unchanged.
  std::string payload;
};

/// Parses the body of a submission. Adds a finding for each error, with 1-based line and column
/// where known and 0 otherwise. Returns nothing when there are any errors.
std::optional<JobSubmission> ParseJobSubmission(const std::string& aBody, Findings& aFindings);

/// Returns the public id of a job: `REGION-NUMBER`.
std::string FormatJobId(const std::string& aRegion, JobNumber aJob);

/// Parses the public id of a job. Returns false and leaves aRegion and aJob unchanged when it is
/// malformed.
bool ParseJobId(const std::string& aText, std::string& aRegion, JobNumber& aJob);

/// Names of enumerators in JSON, in lower case.
const char* NameOf(WorkClass aClass);
const char* NameOf(JobState aState);
const char* NameOf(StopReason aReason);
const char* NameOf(AttemptOutcome aOutcome);

} // namespace daisydrift
