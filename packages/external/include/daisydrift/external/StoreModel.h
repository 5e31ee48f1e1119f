#pragma once
// Semantics of the store without transport, shared by the in-memory fake and the stand-in server.

#include "daisydrift/external/Store.h"

#include <map>

namespace daisydrift {

/// State of a store. Not thread-safe; the caller passes the current time.
class StoreModel
{
public:
  Result<StoreEntry> Get(const std::string& aKey, TimePoint aNow);
  std::vector<StoreEntry> List(const std::string& aPrefix, TimePoint aNow);
  /// Errors as for Store::CompareAndSwap. The revision of the key before the write is stored in
  /// *aCurrent if aCurrent is given and the arguments are valid; on Conflict it is the current
  /// revision.
  Result<Revision> CompareAndSwap(const std::string& aKey,
                                  const std::string& aValue,
                                  Revision aExpected,
                                  LeaseId aLease,
                                  TimePoint aNow,
                                  Revision* aCurrent = nullptr);
  std::error_code Delete(const std::string& aKey, Revision aExpected, TimePoint aNow);
  /// Returns the changes of keys that start with aPrefix after revision aAfter.
  WatchResult ChangesSince(const std::string& aPrefix, Revision aAfter, TimePoint aNow);
  LeaseId GrantLease(Duration aTtl, TimePoint aNow);
  std::error_code RenewLease(LeaseId aLease, TimePoint aNow);
  std::error_code RevokeLease(LeaseId aLease, TimePoint aNow);
  /// Removes expired leases and deletes their keys. Every method but GrantLease calls it first.
  void ExpireLeases(TimePoint aNow);

private:
  struct Record
  {
    std::string value;
    Revision revision = 0;
    LeaseId lease = 0;
    /// A deleted key stays as a tombstone, so that watches report the deletion.
    bool deleted = false;
  };
  struct Lease
  {
    Duration ttl{ 0 };
    TimePoint expiry;
  };

  void DropLease(LeaseId aLease);

  std::map<std::string, Record> records;
  std::map<LeaseId, Lease> leases;
  Revision lastRevision = 0;
  LeaseId lastLease = 0;
};

} // namespace daisydrift
