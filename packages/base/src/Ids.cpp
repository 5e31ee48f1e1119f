#include "daisydrift/base/Ids.h"

#include <charconv>

namespace daisydrift {

namespace {

/// Parses a number that must be followed by aTerminator ('\0' stands for the end of the text).
/// Advances aText past the terminator.
template<typename T>
bool ReadNumber(const char*& aText, const char* aTextEnd, char aTerminator, T& aOut)
{
  auto [next, error] = std::from_chars(aText, aTextEnd, aOut);
  if (error != std::errc() || next == aText) {
    return false;
  }
  if (aTerminator == '\0') {
    return next == aTextEnd;
  }
  if (next == aTextEnd || *next != aTerminator) {
    return false;
  }
  aText = next + 1;
  return true;
}

} // namespace

std::string ToString(const AttemptId& aId)
{
  return std::to_string(aId.task.job) + "." + std::to_string(aId.task.index) + "." +
         std::to_string(aId.attempt);
}

bool ParseAttemptId(const std::string& aText, AttemptId& aOut)
{
  const char* text = aText.data();
  const char* textEnd = text + aText.size();
  AttemptId id;
  if (!ReadNumber(text, textEnd, '.', id.task.job) ||
      !ReadNumber(text, textEnd, '.', id.task.index) ||
      !ReadNumber(text, textEnd, '\0', id.attempt)) {
    return false;
  }
  aOut = id;
  return true;
}

} // namespace daisydrift
