#pragma once
// Valid documents with seeded faults.

#include <nlohmann/json.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace daisydrift {

/// Makes documents with faults: fields that are missing, of another type, out of range or nested
/// deep, and text that is cut or changed.
class DocumentMutator
{
public:
  explicit DocumentMutator(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  std::size_t Below(std::size_t aEnd)
  {
    return std::uniform_int_distribution<std::size_t>(0, aEnd - 1)(this->random);
  }

  /// The document with one to three faults in its fields.
  nlohmann::json Mutate(nlohmann::json aDocument)
  {
    for (std::size_t count = 1 + this->Below(3); count > 0; --count) {
      this->MutateOneField(aDocument);
    }
    return aDocument;
  }

  /// The text of a document with faults in its fields, and sometimes one in the text itself.
  std::string MutateText(const nlohmann::json& aDocument)
  {
    std::string text = this->Mutate(aDocument).dump();
    std::size_t position = this->Below(text.size() + 1);
    switch (this->Below(8)) {
      case 0:
        text.resize(position);
        break;
      case 1:
        text.insert(position, 1, static_cast<char>(this->Below(256)));
        break;
      case 2: {
        std::size_t depth = std::size_t(1) << this->Below(15);
        text = R"({"x":)" + std::string(depth, '[') + std::string(depth, ']') + "," +
               text.substr(std::min<std::size_t>(1, text.size()));
        break;
      }
      case 3: {
        std::size_t digit = text.find_first_of("0123456789", position);
        if (digit != std::string::npos) {
          text.insert(digit, "99999999999999999999999");
        }
        break;
      }
      default:
        break;
    }
    return text;
  }

private:
  nlohmann::json OddValue()
  {
    static const std::vector<std::string> kValues{ "null",
                                                   "true",
                                                   "false",
                                                   "\"\"",
                                                   "\"x\"",
                                                   "[]",
                                                   "{}",
                                                   "[5]",
                                                   R"({"x":5})",
                                                   "0",
                                                   "-1",
                                                   "0.5",
                                                   "1e300",
                                                   "-1e300",
                                                   "65536",
                                                   "4294967295",
                                                   "4294967296",
                                                   "9223372036854775807",
                                                   "-9223372036854775808",
                                                   "18446744073709551615",
                                                   "99999999999999999999999",
                                                   R"("10.0.0.9:65536")",
                                                   R"("10.0.0.9:-1")",
                                                   R"("10.0.0.9:99999999999999")",
                                                   R"("é\u0000")" };
    if (this->Below(12) == 0) {
      std::size_t depth = 1 + this->Below(200);
      return nlohmann::json::parse(std::string(depth, '[') + std::string(depth, ']'));
    }
    return nlohmann::json::parse(kValues[this->Below(kValues.size())]);
  }

  void MutateOneField(nlohmann::json& aDocument)
  {
    nlohmann::json* node = &aDocument;
    while (node->is_structured() && !node->empty()) {
      auto child = node->begin();
      std::advance(child, this->Below(node->size()));
      switch (this->Below(6)) {
        case 0:
          node->erase(child);
          return;
        case 1:
          *child = this->OddValue();
          return;
        default:
          node = &*child;
          break;
      }
    }
    if (this->Below(4) == 0) {
      *node = nlohmann::json::array({ *node });
    } else {
      *node = this->OddValue();
    }
  }

  std::mt19937_64 random;
};

} // namespace daisydrift
