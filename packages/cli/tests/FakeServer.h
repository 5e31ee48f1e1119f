#pragma once
// Servers and helpers for the tests of the command line.

#include "daisydrift/cli.h"
#include "daisydrift/config.h"
#include "daisydrift/external.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace daisydrift {

/// A request as received.
struct ReceivedRequest
{
  std::string method;
  std::string path;
  std::string idempotencyKey;
  std::string authorization;
  std::string body;
};

/// A predefined response.
struct ScriptedResponse
{
  int status = 200;
  std::string body = "{}";
  std::string contentType = "application/json";
};

/// Serves the API of operators on a configuration in a FakeStore. A test can replace any response.
class FakeServer
{
public:
  FakeServer();
  ~FakeServer();

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }
  std::vector<ReceivedRequest> ReceivedRequests();
  ConfigDocument Document();
  /// Applies edits under the name of another operator.
  void ApplyAsOtherOperator(std::vector<daisydrift::Edit> aEdits);

  /// Called first; returns the response, or nothing for the default one. Must be set before the
  /// first request.
  std::function<std::optional<ScriptedResponse>(const ReceivedRequest&)> customHandler;

private:
  ScriptedResponse Respond(const ReceivedRequest& aRequest);
  ScriptedResponse RespondToEdit(const EditRequest& aRequest);

  ManualClock clock;
  FakeStore store{ clock };
  std::mutex mutex;
  std::vector<ReceivedRequest> received;
  int editCount = 0;
  httplib::Server server;
  int port = 0;
  std::thread thread;
};

/// Accepts requests and closes each connection without a response.
class ClosingServer
{
public:
  ClosingServer();
  ~ClosingServer();

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }
  int RequestCount() const { return this->requestCount; }

private:
  void Serve();

  int listener = -1;
  int port = 0;
  std::atomic<int> requestCount{ 0 };
  std::thread thread;
};

/// Exit code and output of a command.
struct RunResult
{
  ExitCode code = ExitCode::Ok;
  std::string out;
  std::string err;
};

/// Environment of a command in a test.
struct RunOptions
{
  std::string input;
  std::string key = "dd_secret-key";
  bool isTerminal = false;
  /// Called instead of sleeping.
  std::function<void()> onSleep;
};

/// Runs a command whose words are separated by spaces.
RunResult RunCommand(const std::string& aCommand, const RunOptions& aOptions = {});

/// An address on which no process listens.
inline const std::string kUnreachableServer = "127.0.0.1:1";

} // namespace daisydrift
