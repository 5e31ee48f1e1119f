#include "LogTrace.h"

#include "Commands.h"

#include <algorithm>
#include <sstream>

namespace daisydrift {

namespace {

struct TimedLine
{
  std::string time;
  std::string text;
  bool isJobLine = false;
};

/// Value of the field aKey of a log line; empty when absent.
std::string FieldValue(const std::string& aLine, const std::string& aKey)
{
  std::string pattern = aKey + "=";
  std::size_t position = aLine.find(pattern);
  while (position != std::string::npos && position > 0 && aLine[position - 1] != ' ') {
    position = aLine.find(pattern, position + 1);
  }
  if (position == std::string::npos) {
    return "";
  }
  std::size_t begin = position + pattern.size();
  return aLine.substr(begin, aLine.find(' ', begin) - begin);
}

/// True for events that affect all jobs.
bool IsFleetEvent(const std::string& aEvent)
{
  for (const char* prefix : { "term_", "store_", "config_", "leadership_" }) {
    if (aEvent.rfind(prefix, 0) == 0) {
      return true;
    }
  }
  return aEvent == "domain_drained" || aEvent == "domain_returned";
}

} // namespace

std::vector<std::string> TraceJob(const std::string& aLogs, const std::string& aJob)
{
  std::vector<TimedLine> lines;
  std::istringstream stream(aLogs);
  for (std::string text; std::getline(stream, text);) {
    bool isJobLine = FieldValue(text, "job") == aJob;
    std::string time = FieldValue(text, "time");
    if (!time.empty() && (isJobLine || IsFleetEvent(FieldValue(text, "event")))) {
      lines.push_back({ time, text, isJobLine });
    }
  }
  std::stable_sort(lines.begin(), lines.end(), [](const TimedLine& aLeft, const TimedLine& aRight) {
    return aLeft.time < aRight.time;
  });
  auto isJobLine = [](const TimedLine& aLine) { return aLine.isJobLine; };
  auto first = std::find_if(lines.begin(), lines.end(), isJobLine);
  auto last = std::find_if(lines.rbegin(), lines.rend(), isJobLine).base();
  std::vector<std::string> history;
  for (auto line = first; line < last; ++line) {
    history.push_back(line->text);
  }
  return history;
}

ExitCode RunTrace(CommandContext& aContext)
{
  std::optional<std::string> logs = aContext.ReadFile(aContext.Argument(1));
  if (!logs) {
    return ExitCode::BadInput;
  }
  std::vector<std::string> history = TraceJob(*logs, aContext.Argument(0));
  for (const std::string& line : history) {
    aContext.PrintLine(line);
  }
  if (history.empty()) {
    aContext.PrintLine("the logs have no line about this job");
  }
  return ExitCode::Ok;
}

} // namespace daisydrift
