// Processor time that the listener's thread takes for one request on a persistent connection.

#include "daisydrift/http.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <ctime>
#include <iostream>
#include <thread>
#include <vector>

namespace daisydrift {
namespace {

constexpr int kRounds = 9;
constexpr int kRequestsPerRound = 4000;

double ThreadSeconds()
{
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Returns the microseconds per request of the fastest round and of the median one.
std::pair<double, double> Measure(std::size_t aBodyBytes)
{
  AsioLoop loop;
  HttpListener listener(loop, {}, [](const Ref<HttpExchange>& aExchange) {
    aExchange->Reply({ 200, {}, "{}" });
  });
  if (listener.Open({ "127.0.0.1", 0 })) {
    return {};
  }
  std::string request = "POST /queue/00000000000000ff HTTP/1.1\r\nHost: queues.example\r\n"
                        "Authorization: Bearer key-of-team\r\nContent-Type: application/json\r\n"
                        "X-Daisydrift-Deadline-Ms: 3000\r\nContent-Length: " +
                        std::to_string(aBodyBytes) + "\r\n\r\n" + std::string(aBodyBytes, 'x');
  std::vector<double> rounds;
  std::thread client([&] {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address_v4("127.0.0.1"), listener.Port() });
    socket.set_option(asio::ip::tcp::no_delay(true));
    std::string received;
    for (int round = 0; round < kRounds; ++round) {
      for (int number = 0; number < kRequestsPerRound; ++number) {
        asio::write(socket, asio::buffer(request));
        asio::read_until(socket, asio::dynamic_buffer(received), "{}");
        received.clear();
      }
      loop.After(Duration(0), [&rounds] { rounds.push_back(ThreadSeconds()); });
    }
    loop.After(Duration(0), [&loop] { loop.Stop(); });
  });
  rounds.push_back(ThreadSeconds());
  loop.Run();
  client.join();
  std::vector<double> spent;
  for (std::size_t round = 1; round < rounds.size(); ++round) {
    spent.push_back((rounds[round] - rounds[round - 1]) / kRequestsPerRound * 1e6);
  }
  std::sort(spent.begin(), spent.end());
  return { spent.front(), spent[spent.size() / 2] };
}

} // namespace
} // namespace daisydrift

int main()
{
  for (std::size_t bytes : { std::size_t(0), std::size_t(1000), std::size_t(60000) }) {
    auto [fastest, median] = daisydrift::Measure(bytes);
    std::cout << "body_bytes=" << bytes << " us_per_request_fastest=" << fastest
              << " us_per_request_median=" << median << "\n";
  }
  return 0;
}
