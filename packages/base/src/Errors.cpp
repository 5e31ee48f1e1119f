#include "daisydrift/base/Errors.h"

namespace daisydrift {

namespace {

class DaisydriftErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "daisydrift"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<Errc>(aValue)) {
      case Errc::Ok:
        return "ok";
      case Errc::Conflict:
        return "conflict with another writer";
      case Errc::NotFound:
        return "not found";
      case Errc::Unreachable:
        return "unreachable";
      case Errc::OutcomeUnknown:
        return "outcome unknown";
      case Errc::Overloaded:
        return "overloaded";
      case Errc::LeaseExpired:
        return "lease expired";
      case Errc::Fenced:
        return "fenced by a higher epoch";
      case Errc::InvalidArgument:
        return "invalid argument";
      case Errc::DeadlineExceeded:
        return "deadline exceeded";
      case Errc::Unauthenticated:
        return "unauthenticated";
      case Errc::LimitReached:
        return "limit reached";
      case Errc::NotPermitted:
        return "not permitted now";
      case Errc::Corrupt:
        return "corrupt data";
    }
    return "unknown error " + std::to_string(aValue);
  }
};

} // namespace

const std::error_category& DaisydriftCategory() noexcept
{
  static const DaisydriftErrorCategory sCategory;
  return sCategory;
}

std::error_code make_error_code(Errc aError) noexcept
{
  return { static_cast<int>(aError), DaisydriftCategory() };
}

} // namespace daisydrift
