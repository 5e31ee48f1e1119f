#pragma once
// Extracts the history of one job from the logs of all instances. Internal to the package.

#include <string>
#include <vector>

namespace daisydrift {

/// Returns the lines of aLogs that belong to the job and, between the first and the last of them,
/// the lines about events that affect all jobs (leader terms, the store, the configuration, failure
/// domains), ordered by time. Text before `time=` in a line, such as the name of an instance, is
/// kept. Lines without a time are left out.
std::vector<std::string> TraceJob(const std::string& aLogs, const std::string& aJob);

} // namespace daisydrift
