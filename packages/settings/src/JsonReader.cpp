#include "daisydrift/settings/JsonReader.h"

#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace daisydrift {

namespace {

/// Length in bytes of the UTF-8 sequence at the start of aText, or 0 when it is invalid.
std::size_t Utf8Length(std::string_view aText)
{
  auto byte = [&aText](std::size_t aIndex) {
    return aIndex < aText.size() ? static_cast<unsigned char>(aText[aIndex]) : 0U;
  };
  auto isContinuation = [&byte](std::size_t aIndex) { return (byte(aIndex) & 0xc0U) == 0x80U; };
  unsigned first = byte(0);
  if (first < 0x80) {
    return 1;
  }
  if (first >= 0xc2 && first <= 0xdf) {
    return isContinuation(1) ? 2 : 0;
  }
  if (first >= 0xe0 && first <= 0xef) {
    bool isOverlong = first == 0xe0 && byte(1) < 0xa0;
    bool isSurrogate = first == 0xed && byte(1) >= 0xa0;
    return isContinuation(1) && isContinuation(2) && !isOverlong && !isSurrogate ? 3 : 0;
  }
  if (first >= 0xf0 && first <= 0xf4) {
    bool isOutOfRange = (first == 0xf0 && byte(1) < 0x90) || (first == 0xf4 && byte(1) >= 0x90);
    return isContinuation(1) && isContinuation(2) && isContinuation(3) && !isOutOfRange ? 4 : 0;
  }
  return 0;
}

void AppendUtf8(std::string& aOut, unsigned aCode)
{
  if (aCode < 0x80) {
    aOut += static_cast<char>(aCode);
    return;
  }
  if (aCode < 0x800) {
    aOut += static_cast<char>(0xc0 | (aCode >> 6));
  } else if (aCode < 0x10000) {
    aOut += static_cast<char>(0xe0 | (aCode >> 12));
    aOut += static_cast<char>(0x80 | ((aCode >> 6) & 0x3f));
  } else {
    aOut += static_cast<char>(0xf0 | (aCode >> 18));
    aOut += static_cast<char>(0x80 | ((aCode >> 12) & 0x3f));
    aOut += static_cast<char>(0x80 | ((aCode >> 6) & 0x3f));
  }
  aOut += static_cast<char>(0x80 | (aCode & 0x3f));
}

/// Recursive-descent parser that resumes at the next member or item after an error.
class Parser
{
public:
  Parser(std::string_view aText, const std::string& aSource, Findings& aFindings)
    : text(aText)
    , source(aSource)
    , findings(aFindings)
  {
  }

  std::optional<JsonValue> ParseDocument()
  {
    if (this->text.substr(0, 3) == "\xef\xbb\xbf") {
      this->position = 3;
    }
    JsonValue value;
    this->SkipWhitespaceAndComments();
    if (!this->ParseValue(value, 0)) {
      return std::nullopt;
    }
    this->SkipWhitespaceAndComments();
    if (!this->AtEnd()) {
      this->Report("syntax", "unexpected text after the value");
    }
    return value;
  }

private:
  bool AtEnd() const { return this->position >= this->text.size() || this->isStopped; }
  char Peek() const { return this->AtEnd() ? '\0' : this->text[this->position]; }

  void Advance()
  {
    auto byte = static_cast<unsigned char>(this->text[this->position]);
    ++this->position;
    if (byte == '\n') {
      ++this->line;
      this->column = 1;
    } else if (this->position >= this->text.size() ||
               (static_cast<unsigned char>(this->text[this->position]) & 0xc0U) != 0x80U) {
      ++this->column;
    }
  }

  bool ConsumeIf(char aCharacter)
  {
    if (this->AtEnd() || this->Peek() != aCharacter) {
      return false;
    }
    this->Advance();
    return true;
  }

  void Report(const char* aCode, const std::string& aMessage)
  {
    this->ReportAt(this->line, this->column, aCode, aMessage);
  }

  void ReportAt(unsigned aLine, unsigned aColumn, const char* aCode, const std::string& aMessage)
  {
    if (this->isStopped) {
      return;
    }
    this->findings.Add({ this->source, aLine, aColumn }, aCode, aMessage);
    if (++this->findingCount >= kMaxJsonFindings) {
      this->findings.Add({ this->source, aLine, aColumn }, "syntax", "too many problems; stopped");
      this->isStopped = true;
    }
  }

  void SkipWhitespaceAndComments()
  {
    while (!this->AtEnd()) {
      char next = this->Peek();
      if (next == ' ' || next == '\t' || next == '\n' || next == '\r') {
        this->Advance();
      } else if (this->text.substr(this->position, 2) == "//") {
        while (!this->AtEnd() && this->Peek() != '\n') {
          this->Advance();
        }
      } else if (this->text.substr(this->position, 2) == "/*") {
        this->SkipBlockComment();
      } else {
        return;
      }
    }
  }

  void SkipBlockComment()
  {
    unsigned startLine = this->line;
    unsigned startColumn = this->column;
    this->Advance();
    this->Advance();
    while (!this->AtEnd()) {
      if (this->text.substr(this->position, 2) == "*/") {
        this->Advance();
        this->Advance();
        return;
      }
      this->Advance();
    }
    this->ReportAt(startLine, startColumn, "syntax", "comment is not closed");
  }

  /// Skips to the next comma or closing bracket at the current nesting level, without consuming it.
  void Recover()
  {
    unsigned depth = 0;
    while (!this->AtEnd()) {
      char next = this->Peek();
      if (next == '"') {
        this->SkipString();
        continue;
      }
      if (next == '{' || next == '[') {
        ++depth;
      } else if (next == '}' || next == ']') {
        if (depth == 0) {
          return;
        }
        --depth;
      } else if (next == ',' && depth == 0) {
        return;
      }
      this->Advance();
    }
  }

  void SkipString()
  {
    this->Advance();
    while (!this->AtEnd() && this->Peek() != '"' && this->Peek() != '\n') {
      if (this->Peek() == '\\') {
        this->Advance();
        if (this->AtEnd()) {
          return;
        }
      }
      this->Advance();
    }
    this->ConsumeIf('"');
  }

  /// Reads one value; returns false after reporting an error when no value could be read.
  bool ParseValue(JsonValue& aOut, unsigned aDepth)
  {
    aOut.line = this->line;
    aOut.column = this->column;
    if (this->AtEnd()) {
      this->Report("syntax", "a value is expected, but the text ends");
      return false;
    }
    char next = this->Peek();
    if (next == '{' || next == '[') {
      if (aDepth >= kMaxJsonDepth) {
        this->Report("too_deep", "nesting is deeper than " + std::to_string(kMaxJsonDepth));
        return false;
      }
      return next == '{' ? this->ParseObject(aOut, aDepth) : this->ParseArray(aOut, aDepth);
    }
    if (next == '"') {
      aOut.kind = JsonKind::String;
      return this->ParseString(aOut.text);
    }
    if (next == '-' || (next >= '0' && next <= '9')) {
      return this->ParseNumber(aOut);
    }
    return this->ParseLiteral(aOut);
  }

  bool ParseLiteral(JsonValue& aOut)
  {
    std::size_t end = this->position;
    while (end < this->text.size() && std::isalnum(static_cast<unsigned char>(this->text[end]))) {
      ++end;
    }
    std::string_view literal = this->text.substr(this->position, end - this->position);
    if (literal == "true" || literal == "false") {
      aOut.kind = JsonKind::Boolean;
      aOut.boolean = literal == "true";
    } else if (literal != "null") {
      this->Report("syntax", "a value is expected");
      return false;
    }
    while (this->position < end) {
      this->Advance();
    }
    return true;
  }

  /// Consumes decimal digits; returns false when there are none.
  bool ConsumeDigits()
  {
    bool hasDigits = false;
    while (!this->AtEnd() && this->Peek() >= '0' && this->Peek() <= '9') {
      this->Advance();
      hasDigits = true;
    }
    return hasDigits;
  }

  bool ParseNumber(JsonValue& aOut)
  {
    std::size_t start = this->position;
    bool isInteger = true;
    this->ConsumeIf('-');
    bool isValid = this->ConsumeIf('0') || this->ConsumeDigits();
    if (isValid && this->ConsumeIf('.')) {
      isInteger = false;
      isValid = this->ConsumeDigits();
    }
    if (isValid && (this->Peek() == 'e' || this->Peek() == 'E')) {
      isInteger = false;
      this->Advance();
      if (!this->ConsumeIf('+')) {
        this->ConsumeIf('-');
      }
      isValid = this->ConsumeDigits();
    }
    char next = this->Peek();
    if (!isValid || std::isalnum(static_cast<unsigned char>(next)) || next == '.') {
      this->ReportAt(aOut.line, aOut.column, "syntax", "malformed number");
      return false;
    }
    const char* first = this->text.data() + start;
    const char* last = this->text.data() + this->position;
    auto parsed = std::from_chars(first, last, aOut.number);
    if (parsed.ec != std::errc() || !std::isfinite(aOut.number)) {
      this->ReportAt(aOut.line, aOut.column, "syntax", "number is out of range");
      return false;
    }
    aOut.kind = JsonKind::Number;
    if (isInteger && std::from_chars(first, last, aOut.integer).ec == std::errc()) {
      aOut.kind = JsonKind::Integer;
    }
    return true;
  }

  bool ParseString(std::string& aOut)
  {
    unsigned startLine = this->line;
    unsigned startColumn = this->column;
    this->Advance();
    while (!this->AtEnd()) {
      char next = this->Peek();
      if (next == '"') {
        this->Advance();
        return true;
      }
      if (next == '\n') {
        break;
      }
      if (next == '\\') {
        this->ParseEscape(aOut);
        continue;
      }
      std::size_t length = Utf8Length(this->text.substr(this->position));
      if (length == 0) {
        this->Report("invalid_utf8", "string is not valid UTF-8");
        length = 1;
      } else if (static_cast<unsigned char>(next) < 0x20) {
        this->Report("syntax", "control character in a string; use an escape");
      } else {
        aOut.append(this->text.substr(this->position, length));
      }
      for (; length > 0; --length) {
        this->Advance();
      }
    }
    this->ReportAt(startLine, startColumn, "syntax", "string is not closed");
    return false;
  }

  void ParseEscape(std::string& aOut)
  {
    constexpr std::string_view kEscapeLetters = "\"\\/bfnrt";
    constexpr std::string_view kEscapedCharacters = "\"\\/\b\f\n\r\t";
    unsigned startLine = this->line;
    unsigned startColumn = this->column;
    this->Advance();
    std::size_t index = this->AtEnd() ? std::string_view::npos : kEscapeLetters.find(this->Peek());
    if (index != std::string_view::npos) {
      aOut += kEscapedCharacters[index];
      this->Advance();
      return;
    }
    unsigned code = 0;
    if (!this->ConsumeIf('u') || !this->ConsumeHexDigits(code)) {
      this->ReportAt(startLine, startColumn, "syntax", "unknown escape in a string");
      return;
    }
    bool isHighSurrogate = code >= 0xd800 && code <= 0xdbff;
    if (isHighSurrogate && this->text.substr(this->position, 2) == "\\u") {
      this->Advance();
      this->Advance();
      unsigned low = 0;
      if (this->ConsumeHexDigits(low) && low >= 0xdc00 && low <= 0xdfff) {
        AppendUtf8(aOut, 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00));
        return;
      }
    }
    if (code >= 0xd800 && code <= 0xdfff) {
      this->ReportAt(startLine, startColumn, "syntax", "escape is half of a surrogate pair");
      return;
    }
    AppendUtf8(aOut, code);
  }

  /// Consumes four hexadecimal digits.
  bool ConsumeHexDigits(unsigned& aOut)
  {
    aOut = 0;
    for (int i = 0; i < 4; ++i) {
      char next = this->Peek();
      if (std::isxdigit(static_cast<unsigned char>(next)) == 0) {
        return false;
      }
      unsigned digit = next <= '9' ? next - '0' : (next | 0x20) - 'a' + 10;
      aOut = aOut * 16 + digit;
      this->Advance();
    }
    return true;
  }

  /// Consumes what follows a member or item; returns true when another one follows.
  bool ConsumeSeparator(char aClose, bool& aIsClosed)
  {
    this->SkipWhitespaceAndComments();
    if (this->ConsumeIf(aClose)) {
      aIsClosed = true;
      return false;
    }
    if (!this->ConsumeIf(',')) {
      this->Report("syntax", std::string("',' or '") + aClose + "' is expected");
      this->Recover();
      if (!this->ConsumeIf(',')) {
        aIsClosed = this->ConsumeIf(aClose);
        return false;
      }
    }
    this->SkipWhitespaceAndComments();
    if (this->Peek() == aClose) {
      this->Report("syntax", "a comma must not stand before the end");
      this->Advance();
      aIsClosed = true;
      return false;
    }
    return !this->AtEnd();
  }

  void ReportIfUnclosed(const JsonValue& aValue, bool aIsClosed, const char* aDescription)
  {
    if (!aIsClosed) {
      this->ReportAt(
        aValue.line, aValue.column, "syntax", std::string(aDescription) + " is not closed");
    }
  }

  bool ParseArray(JsonValue& aOut, unsigned aDepth)
  {
    aOut.kind = JsonKind::Array;
    this->Advance();
    this->SkipWhitespaceAndComments();
    if (this->ConsumeIf(']')) {
      return true;
    }
    bool isClosed = false;
    do {
      JsonValue item;
      if (this->ParseValue(item, aDepth + 1)) {
        aOut.items.push_back(std::move(item));
      } else {
        this->Recover();
      }
    } while (this->ConsumeSeparator(']', isClosed));
    this->ReportIfUnclosed(aOut, isClosed, "array");
    return true;
  }

  bool ParseObject(JsonValue& aOut, unsigned aDepth)
  {
    aOut.kind = JsonKind::Object;
    this->Advance();
    this->SkipWhitespaceAndComments();
    if (this->ConsumeIf('}')) {
      return true;
    }
    bool isClosed = false;
    std::set<std::string> keys;
    do {
      this->ParseMember(aOut, aDepth, keys);
    } while (this->ConsumeSeparator('}', isClosed));
    this->ReportIfUnclosed(aOut, isClosed, "object");
    return true;
  }

  void ParseMember(JsonValue& aObject, unsigned aDepth, std::set<std::string>& aKeys)
  {
    JsonMember member;
    member.line = this->line;
    member.column = this->column;
    if (this->Peek() != '"') {
      this->Report("syntax", "a key in double quotes is expected");
      this->Recover();
      return;
    }
    if (!this->ParseString(member.name)) {
      this->Recover();
      return;
    }
    this->SkipWhitespaceAndComments();
    if (!this->ConsumeIf(':')) {
      this->Report("syntax", "':' is expected after the key");
      this->Recover();
      return;
    }
    this->SkipWhitespaceAndComments();
    if (!this->ParseValue(member.value, aDepth + 1)) {
      this->Recover();
      return;
    }
    if (!aKeys.insert(member.name).second) {
      this->ReportAt(member.line,
                     member.column,
                     "duplicate_key",
                     "\"" + member.name + "\" is given more than once");
      return;
    }
    aObject.members.push_back(std::move(member));
  }

  std::string_view text;
  const std::string& source;
  Findings& findings;
  std::size_t position = 0;
  unsigned line = 1;
  unsigned column = 1;
  std::size_t findingCount = 0;
  bool isStopped = false;
};

} // namespace

std::optional<JsonValue> ReadJson(std::string_view aText,
                                  const std::string& aSource,
                                  Findings& aFindings)
{
  return Parser(aText, aSource, aFindings).ParseDocument();
}

} // namespace daisydrift
