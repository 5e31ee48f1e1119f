#include "HttpListener.h"

namespace daisydrift {

HttpListener::HttpListener(std::size_t aThreads)
{
  this->server.new_task_queue = [aThreads] { return new httplib::ThreadPool(aThreads); };
  this->server.set_tcp_nodelay(true);
  this->server.set_keep_alive_max_count(1'000'000);
  this->server.set_keep_alive_timeout(10);
}

HttpListener::~HttpListener()
{
  this->Stop();
}

bool HttpListener::Start(const Endpoint& aEndpoint)
{
  this->endpoint = aEndpoint;
  if (aEndpoint.port == 0) {
    int port = this->server.bind_to_any_port(aEndpoint.address.c_str());
    if (port <= 0) {
      return false;
    }
    this->endpoint.port = static_cast<std::uint16_t>(port);
  } else if (!this->server.bind_to_port(aEndpoint.address.c_str(), aEndpoint.port)) {
    return false;
  }
  this->thread = std::thread([this] { this->server.listen_after_bind(); });
  while (!this->server.is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

void HttpListener::Stop()
{
  this->server.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

} // namespace daisydrift
