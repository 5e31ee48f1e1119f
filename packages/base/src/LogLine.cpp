#include "daisydrift/base/LogLine.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <fcntl.h>
#include <unistd.h>

#include <mutex>

namespace daisydrift {

namespace {

spdlog::level::level_enum ToSpdlogLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

bool NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (char character : aValue) {
    if (static_cast<unsigned char>(character) <= ' ' || character == '"' || character == '=' ||
        character == '\\' || character == '\x7f') {
      return true;
    }
  }
  return false;
}

} // namespace

std::string QuoteLogValue(std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    return std::string(aValue);
  }
  static const char kHexDigits[] = "0123456789abcdef";
  std::string quoted = "\"";
  for (char character : aValue) {
    auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (character == '\n') {
      quoted += "\\n";
    } else if (byte < ' ' || byte == 0x7f) {
      quoted += "\\x";
      quoted += kHexDigits[byte >> 4];
      quoted += kHexDigits[byte & 15];
    } else {
      quoted += character;
    }
  }
  return quoted + "\"";
}

unsigned LogSampler::Weight(std::chrono::seconds aNow)
{
  if (aNow != this->currentSecond) {
    this->currentSecond = aNow;
    this->eventsInSecond = 0;
  }
  ++this->eventsInSecond;
  if (this->eventsInSecond <= this->maxUnsampled) {
    return 1;
  }
  return this->eventsInSecond % this->samplingInterval == 0 ? this->samplingInterval : 0;
}

LogLine::LogLine(LogLevel aLevel, std::string_view aEvent)
  : level(aLevel)
{
  this->Add("event", aEvent);
}

LogLine::~LogLine()
{
  spdlog::log(ToSpdlogLevel(this->level), "{}", this->text);
}

LogLine& LogLine::Add(std::string_view aKey, std::string_view aValue)
{
  if (!this->text.empty()) {
    this->text += ' ';
  }
  this->text += aKey;
  this->text += '=';
  this->text += QuoteLogValue(aValue);
  return *this;
}

LogLine& LogLine::Add(std::string_view aKey, std::chrono::microseconds aValue)
{
  return this->Add(aKey, std::chrono::duration<double, std::milli>(aValue).count());
}

LogLine& LogLine::Add(std::string_view aKey, std::error_code aValue)
{
  return this->Add(aKey, std::string_view(aValue.message()));
}

namespace {

/// Writes lines to a non-blocking file descriptor and counts the lines that it could not write.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  explicit NonBlockingSink(int aDescriptor)
    : descriptor(aDescriptor)
  {
    fcntl(aDescriptor, F_SETFL, fcntl(aDescriptor, F_GETFL) | O_NONBLOCK);
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    spdlog::memory_buf_t line;
    this->formatter_->format(aMessage, line);
    if (this->droppedLines > 0) {
      std::string notice =
        "level=warning event=log_lines_dropped lines=" + std::to_string(this->droppedLines) + "\n";
      if (this->Write(notice.data(), notice.size())) {
        this->droppedLines = 0;
      }
    }
    this->droppedLines += this->Write(line.data(), line.size()) ? 0 : 1;
  }
  void flush_() override {}

private:
  bool Write(const char* aData, std::size_t aSize)
  {
    return ::write(this->descriptor, aData, aSize) == static_cast<ssize_t>(aSize);
  }

  int descriptor;
  std::size_t droppedLines = 0;
};

void SetDefaultLogger(const std::shared_ptr<spdlog::logger>& aLogger, LogLevel aMinimum)
{
  aLogger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
  aLogger->set_level(ToSpdlogLevel(aMinimum));
  aLogger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(aLogger);
}

} // namespace

void ConfigureStdoutLogging(LogLevel aMinimum)
{
  auto sink = std::make_shared<NonBlockingSink>(STDOUT_FILENO);
  SetDefaultLogger(std::make_shared<spdlog::logger>("daisydrift", std::move(sink)), aMinimum);
}

void ConfigureLogging(LogLevel aMinimum)
{
  SetDefaultLogger(spdlog::stderr_logger_mt("daisydrift"), aMinimum);
}
} // namespace daisydrift
