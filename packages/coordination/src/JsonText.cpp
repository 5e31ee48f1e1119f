#include "daisydrift/coordination/JsonText.h"

namespace daisydrift {

namespace {
/// True when lists and objects are nested deeper than kMaxDocumentDepth. Exact for well-formed
/// JSON.
bool IsNestedTooDeep(const std::string& aText)
{
  std::size_t depth = 0;
  bool isInText = false;
  for (std::size_t position = 0; position < aText.size(); ++position) {
    char character = aText[position];
    if (isInText) {
      position += character == '\\' ? 1 : 0;
      isInText = character != '"';
    } else if (character == '"') {
      isInText = true;
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxDocumentDepth) {
        return true;
      }
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}
} // namespace

std::optional<nlohmann::json> ParseJson(const std::string& aText)
{
  // Checked first: a parsed document is copied and written recursively.
  if (IsNestedTooDeep(aText)) {
    return std::nullopt;
  }
  nlohmann::json parsed = nlohmann::json::parse(aText, nullptr, false);
  return parsed.is_discarded() ? std::nullopt : std::optional(std::move(parsed));
}

} // namespace daisydrift
