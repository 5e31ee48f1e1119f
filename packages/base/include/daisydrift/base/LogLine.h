#pragma once
// Structured logging: one line of key=value pairs for each event.

#include <chrono>
#include <string>
#include <string_view>
#include <system_error>

namespace daisydrift {

/// Severity of a log line.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

/// Builds one log line and writes it in the destructor.
/// Example: `LogLine(LogLevel::Info, "leader_elected").Add("epoch", 7);`
class LogLine
{
public:
  LogLine(LogLevel aLevel, std::string_view aEvent);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Appends a key=value pair; the value is quoted and escaped as by QuoteLogValue.
  LogLine& Add(std::string_view aKey, std::string_view aValue);
  LogLine& Add(std::string_view aKey, const char* aValue)
  {
    return this->Add(aKey, std::string_view(aValue));
  }
  LogLine& Add(std::string_view aKey, bool aValue)
  {
    return this->Add(aKey, std::string_view(aValue ? "true" : "false"));
  }
  template<typename Number>
  requires std::is_arithmetic_v<Number> LogLine& Add(std::string_view aKey, Number aValue)
  {
    return this->Add(aKey, std::string_view(std::to_string(aValue)));
  }
  /// Appends a duration in milliseconds; aKey should end in `_ms`.
  LogLine& Add(std::string_view aKey, std::chrono::microseconds aValue);
  /// Appends the message of an error.
  LogLine& Add(std::string_view aKey, std::error_code aValue);

  /// The line built so far, without time and severity.
  const std::string& Text() const { return this->text; }

private:
  LogLevel level;
  std::string text;
};

/// Writes all log lines of the process to standard error, each prefixed with time and severity.
/// Lines below the severity aMinimum are discarded.
void ConfigureLogging(LogLevel aMinimum);

/// Writes all log lines to standard output instead, without blocking on a slow reader: lines that
/// cannot be written at once are dropped and counted in a later line with the event
/// `log_lines_dropped`.
void ConfigureStdoutLogging(LogLevel aMinimum);

/// Rate-limits the log lines about one kind of event: writes all up to a number per second and
/// samples the rest of that second.
class LogSampler
{
public:
  /// The first aMaxUnsampled events of each second are logged, then one of every aSamplingInterval.
  LogSampler(unsigned aMaxUnsampled, unsigned aSamplingInterval)
    : maxUnsampled(aMaxUnsampled)
    , samplingInterval(aSamplingInterval)
  {
  }
  /// Counts an event at aNow. Returns the number of events that its log line represents: 1, the
  /// sampling interval, or 0 when no line is to be written.
  unsigned Weight(std::chrono::seconds aNow);

private:
  unsigned maxUnsampled;
  unsigned samplingInterval;
  std::chrono::seconds currentSecond{ 0 };
  unsigned eventsInSecond = 0;
};

/// Formats a value for a log line. Empty values and values with spaces, quotes, backslashes, `=` or
/// control characters are quoted and escaped.
std::string QuoteLogValue(std::string_view aValue);

} // namespace daisydrift
