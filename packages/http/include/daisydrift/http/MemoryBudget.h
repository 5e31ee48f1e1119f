#pragma once
// Limit on the bytes that a process holds for the connections of its listeners.

#include "daisydrift/base.h"

#include <cstddef>

namespace daisydrift {

/// Counts bytes against a limit. A budget may be a share of another one, which then counts the same
/// bytes, too. Not thread-safe.
class MemoryBudget : public RefCounted<MemoryBudget>
{
public:
  /// Bytes that are held; they are released when the object is destroyed.
  class Reservation
  {
  public:
    /// Without a budget, reserving always succeeds.
    explicit Reservation(Ref<MemoryBudget> aBudget)
      : budget(std::move(aBudget))
    {
    }
    ~Reservation() { this->Resize(0); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /// Holds aBytes from now on. Returns false and changes nothing when they are more than before
    /// and the budget has no room for the difference.
    bool Resize(std::size_t aBytes)
    {
      if (this->budget && aBytes != this->bytes && !this->budget->Replace(this->bytes, aBytes)) {
        return false;
      }
      this->bytes = aBytes;
      return true;
    }
    std::size_t Bytes() const { return this->bytes; }

  private:
    Ref<MemoryBudget> budget;
    std::size_t bytes = 0;
  };

  /// aParent is the budget of which this one is a share, or a null pointer.
  explicit MemoryBudget(std::size_t aLimit, Ref<MemoryBudget> aParent = {});

  std::size_t Limit() const { return this->limit; }
  std::size_t Used() const { return this->used; }
  /// Most bytes in use since the last call.
  std::size_t TakePeak();

private:
  /// Counts aTo bytes instead of aFrom. Returns false, and counts as before, when aTo is more and
  /// exceeds a limit.
  bool Replace(std::size_t aFrom, std::size_t aTo);

  std::size_t limit;
  std::size_t used = 0;
  std::size_t peak = 0;
  Ref<MemoryBudget> parent;
};

} // namespace daisydrift
