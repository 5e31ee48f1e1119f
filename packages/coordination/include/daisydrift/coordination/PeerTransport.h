#pragma once
// Remote calls between instances.

#include "daisydrift/base.h"
#include "daisydrift/http.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

namespace daisydrift {

/// Sends a call to another instance. Errors: Unreachable (never sent), OutcomeUnknown, Corrupt, and
/// the error that the other instance returned.
class PeerTransport
{
public:
  virtual ~PeerTransport() = default;
  virtual void Call(const SocketEndpoint& aPeer,
                    const std::string& aMethod,
                    const nlohmann::json& aArguments,
                    Duration aTimeout,
                    std::function<void(const Result<nlohmann::json>&)> aDone) = 0;
};

} // namespace daisydrift
