#pragma once
// Reading of the fields of JSON documents that come from outside the process.

#include "daisydrift/base.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace daisydrift {

/// Longest duration that a document may give, unless the meaning of a field allows less.
inline constexpr std::chrono::hours kMaxFieldDuration{ 24 * 30 };

/// Reads the fields of one JSON object, or the items of one list. No call throws: a field that is
/// absent has the default value, and one that has another type or is out of its range makes the
/// document invalid. The document must outlive this object.
class JsonFields
{
public:
  /// Name of a field of an object, or position of an item of a list.
  struct Name
  {
    Name(const char* aText) // NOLINT(google-explicit-constructor)
      : text(aText)
    {
    }
    Name(int aPosition) // NOLINT(google-explicit-constructor)
      : position(static_cast<std::size_t>(aPosition))
    {
    }
    std::string ToText() const
    {
      return this->text != nullptr ? std::string(this->text)
                                   : "[" + std::to_string(this->position) + "]";
    }
    const char* text = nullptr;
    std::size_t position = 0;
  };

  /// For an object; any other document is invalid.
  explicit JsonFields(const nlohmann::json& aObject);
  /// For a list of at least aItems items; any other document is invalid.
  JsonFields(const nlohmann::json& aList, std::size_t aItems);

  bool IsValid() const { return this->error.empty(); }
  /// Names the first fault, without values of the document; empty when it is valid.
  const std::string& Error() const { return this->error; }
  /// Makes the document invalid because of that field, unless it is already.
  void Fail(Name aName, std::string_view aReason);
  /// Makes the document invalid if the one that the field holds is.
  void Adopt(Name aName, const JsonFields& aField);
  /// Makes the document invalid unless it has all these fields.
  void Require(std::initializer_list<const char*> aNames);

  /// The field's value of any type; null when it is absent.
  const nlohmann::json* Find(Name aName) const;
  /// The field, which must be a list; null when it is absent or not a list.
  const nlohmann::json* List(Name aName);
  std::string Text(Name aName);
  bool Flag(Name aName, bool aDefault = false);
  double Real(Name aName, double aMinimum, double aMaximum, double aDefault = 0);
  /// A number out of the range makes the document invalid.
  template<std::integral Number>
  Number Integer(Name aName, Number aMinimum, Number aMaximum, Number aDefault = 0)
  {
    std::optional<Number> value = this->Clamped<Number>(aName, aMinimum, aMaximum, true);
    return value.value_or(aDefault);
  }
  /// A number out of the range counts as the nearest one in it.
  template<std::integral Number>
  Number ClampedInteger(Name aName, Number aMinimum, Number aMaximum, Number aDefault = 0)
  {
    std::optional<Number> value = this->Clamped<Number>(aName, aMinimum, aMaximum, false);
    return value.value_or(aDefault);
  }
  /// A whole number of microseconds from 0 to aMaximum.
  Duration Microseconds(Name aName, Duration aMaximum = kMaxFieldDuration)
  {
    return Duration(this->Integer<Duration::rep>(aName, 0, aMaximum.count()));
  }
  Duration ClampedMicroseconds(Name aName, Duration aMaximum = kMaxFieldDuration)
  {
    return Duration(this->ClampedInteger<Duration::rep>(aName, 0, aMaximum.count()));
  }

private:
  template<std::integral Number>
  std::optional<Number> Clamped(Name aName, Number aMinimum, Number aMaximum, bool aIsRangeStrict)
  {
    const nlohmann::json* field = this->Find(aName);
    if (field == nullptr) {
      return std::nullopt;
    }
    if (!field->is_number_integer()) { // True for unsigned numbers too.
      this->Fail(aName, "not a whole number");
      return std::nullopt;
    }
    bool isBelow = false;
    bool isAbove = false;
    Number value = 0;
    auto compare = [&](auto aValue) {
      isBelow = std::cmp_less(aValue, aMinimum);
      isAbove = std::cmp_greater(aValue, aMaximum);
      value = isBelow ? aMinimum : isAbove ? aMaximum : static_cast<Number>(aValue);
    };
    if (field->is_number_unsigned()) {
      compare(field->get<std::uint64_t>());
    } else {
      compare(field->get<std::int64_t>());
    }
    if (aIsRangeStrict && (isBelow || isAbove)) {
      this->Fail(aName, "out of range");
      return std::nullopt;
    }
    return value;
  }

  const nlohmann::json& document;
  std::string error;
};

} // namespace daisydrift
