#include "EventLoopThread.h"

#include "daisydrift/base.h"
#include "daisydrift/rpc/RpcEventLoop.h"

#include <cassert>
#include <future>

namespace daisydrift {

namespace {

/// Runs one task. An exception is a programming error in the task; it is logged, so that the loop
/// continues.
void RunTask(const std::function<void()>& aTask)
{
  KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { aTask(); })) {
    LogLine(LogLevel::Error, "rpc_task_failed").Add("error", exception->getDescription().cStr());
  }
}

} // namespace

EventLoopThread::EventLoopThread()
{
  std::promise<void> started;
  this->thread = std::thread([this, &started] {
    kj::AsyncIoContext context = kj::setupAsyncIo();
    this->io = &context;
    started.set_value();
    this->Run();
  });
  started.get_future().wait();
}

EventLoopThread::~EventLoopThread()
{
  assert(!this->IsCurrent());
  {
    std::lock_guard lock(this->mutex);
    this->isStopping = true;
    if (this->wake) {
      this->wake->fulfill();
      this->wake = nullptr;
    }
  }
  this->thread.join();
}

void EventLoopThread::Post(std::function<void()> aTask)
{
  std::lock_guard lock(this->mutex);
  this->tasks.push_back(std::move(aTask));
  if (this->wake) {
    this->wake->fulfill();
    this->wake = nullptr;
  }
}

void EventLoopThread::RunSync(const std::function<kj::Promise<void>()>& aTask)
{
  assert(!this->IsCurrent());
  // Owned by the event loop's thread while it is set.
  kj::Promise<void> running = nullptr;
  std::promise<void> done;
  kj::Maybe<kj::Exception> failure;
  this->Post([&] {
    running = kj::evalNow([&] { return aTask(); })
                .then([] {}, [&](kj::Exception&& aException) { failure = kj::mv(aException); })
                .eagerlyEvaluate(nullptr);
    running = running
                .then([&] {
                  this->Post([&] {
                    running = nullptr;
                    done.set_value();
                  });
                })
                .eagerlyEvaluate(nullptr);
  });
  done.get_future().wait();
  KJ_IF_MAYBE (exception, failure) {
    kj::throwFatalException(kj::mv(*exception));
  }
}

bool EventLoopThread::IsCurrent() const
{
  return std::this_thread::get_id() == this->thread.get_id();
}

bool EventLoopThread::TakeTasks(std::vector<std::function<void()>>& aTasks,
                                kj::Promise<void>& aWake)
{
  std::lock_guard lock(this->mutex);
  if (this->tasks.empty() && this->isStopping) {
    return false;
  }
  aTasks.swap(this->tasks);
  auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
  aWake = kj::mv(pair.promise);
  if (this->isStopping) {
    pair.fulfiller->fulfill();
  } else {
    this->wake = kj::mv(pair.fulfiller);
  }
  return true;
}

void EventLoopThread::Run()
{
  std::vector<std::function<void()>> batch;
  kj::Promise<void> wakeUp = nullptr;
  while (this->TakeTasks(batch, wakeUp)) {
    for (const auto& task : batch) {
      RunTask(task);
    }
    batch.clear();
    wakeUp.wait(this->io->waitScope);
  }
}

RpcEventLoop::RpcEventLoop()
  : thread(std::make_unique<EventLoopThread>())
{
}

RpcEventLoop::~RpcEventLoop() = default;

} // namespace daisydrift
