#include "daisydrift/base/Finding.h"

#include <utility>

namespace daisydrift {

void Findings::Add(SourceLocation aPlace, std::string aCode, std::string aMessage)
{
  this->items.push_back({ std::move(aPlace), std::move(aCode), std::move(aMessage) });
}

void Findings::Append(const Findings& aOther)
{
  this->items.insert(this->items.end(), aOther.items.begin(), aOther.items.end());
}

std::string Findings::ToText() const
{
  std::string text;
  for (const Finding& finding : this->items) {
    text += finding.place.source;
    if (finding.place.line != 0) {
      text += ":" + std::to_string(finding.place.line);
      text += ":" + std::to_string(finding.place.column);
    }
    text += ": " + finding.code + ": " + finding.message + "\n";
  }
  return text;
}

} // namespace daisydrift
