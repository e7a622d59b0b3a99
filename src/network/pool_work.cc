/// @file pool_work.cc Execution of a function in a thread pool.
#include "network/pool_work.h"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>

#include <memory>

namespace fuchsiafall {

namespace {

/// Runs a function once, then deletes itself.
class pool_work : public Poco::Runnable {
 public:
  explicit pool_work(std::function<void()> work) : work_(std::move(work)) {}
  void run() override {
    std::unique_ptr<pool_work> self(this);
    work_();
  }

 private:
  std::function<void()> work_;
};

}  // namespace

bool StartWork(Poco::ThreadPool* pool, std::function<void()> work) {
  auto task = std::make_unique<pool_work>(std::move(work));
  try {
    pool->start(*task);
    static_cast<void>(task.release());  // Deletes itself after the run.
    return true;
  } catch (const Poco::NoThreadAvailableException&) {
    return false;
  }
}

}  // namespace fuchsiafall
