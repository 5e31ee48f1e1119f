#include "daisydrift/coordination/JsonText.h"

namespace daisydrift {

namespace {
/// True when lists and objects are nested deeper than kMaxDocumentDepth, or there are more than
/// aMaxValues values. Exact in depth for well-formed JSON; an empty list or object counts as two
/// values.
bool IsTooLarge(const std::string& aText, std::size_t aMaxValues)
{
  std::size_t depth = 0;
  std::size_t values = 1;
  bool isInText = false;
  for (std::size_t position = 0; position < aText.size(); ++position) {
    char character = aText[position];
    if (isInText) {
      position += character == '\\' ? 1 : 0;
      isInText = character != '"';
      continue;
    }
    switch (character) {
      case '"':
        isInText = true;
        break;
      case '[':
      case '{':
        ++values;
        if (++depth > kMaxDocumentDepth) {
          return true;
        }
        break;
      case ']':
      case '}':
        depth -= depth > 0 ? 1 : 0;
        break;
      case ',':
      case ':':
        ++values;
        break;
      default:
        break;
    }
  }
  return values > aMaxValues;
}
} // namespace

std::optional<nlohmann::json> ParseJson(const std::string& aText, std::size_t aMaxValues)
{
  // Checked first: a parsed document is copied and written recursively, and a value takes
  // far more memory than text. The parser's callbacks would cost more time for each value.
  if (IsTooLarge(aText, aMaxValues)) {
    return std::nullopt;
  }
  nlohmann::json parsed = nlohmann::json::parse(aText, nullptr, false);
  return parsed.is_discarded() ? std::nullopt : std::optional(std::move(parsed));
}

} // namespace daisydrift
