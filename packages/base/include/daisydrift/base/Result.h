#pragma once
// A value or an error code, for functions that can fail.

#include "daisydrift/base/Errors.h"

#include <cassert>
#include <utility>
#include <variant>

namespace daisydrift {

/// Holds either a value of T or a non-zero std::error_code.
template<typename T>
class [[nodiscard]] Result
{
public:
  Result(T aValue)
    : content(std::move(aValue))
  {
  }
  Result(std::error_code aError)
    : content(aError)
  {
    assert(aError);
  }
  Result(Errc aError)
    : Result(make_error_code(aError))
  {
  }

  bool HasValue() const { return this->content.index() == 0; }
  explicit operator bool() const { return this->HasValue(); }

  /// The value; HasValue() must be true.
  const T& Value() const
  {
    assert(this->HasValue());
    return *std::get_if<0>(&this->content);
  }
  T& Value()
  {
    assert(this->HasValue());
    return *std::get_if<0>(&this->content);
  }
  const T& operator*() const { return this->Value(); }
  T& operator*() { return this->Value(); }
  const T* operator->() const { return &this->Value(); }
  T* operator->() { return &this->Value(); }

  /// The error, or a zero error code when a value is held.
  std::error_code Error() const
  {
    return this->HasValue() ? std::error_code() : *std::get_if<1>(&this->content);
  }

private:
  std::variant<T, std::error_code> content;
};

} // namespace daisydrift
