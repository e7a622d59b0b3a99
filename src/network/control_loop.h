/// @file control_loop.h Control thread that runs a state machine.
#ifndef NETWORK_CONTROL_LOOP_H_
#define NETWORK_CONTROL_LOOP_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <utility>

#include "output_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct control_loop_options {
  milliseconds tick_interval{20};
  milliseconds pause_threshold{
      1500};  ///< Gap between two rounds that counts as a pause.
};

/// Feeds inputs to a state machine in order, and performs its outputs.
template <typename Machine, typename Input>
class control_loop {
 public:
  using output_hook = std::function<void(std::vector<output>&&)>;

  control_loop(control_loop_options options,
               Machine* machine,
               output_hook perform)
      : options_(options), machine_(machine), perform_(std::move(perform)) {}

  /// Queues an input; safe to call from all threads.
  void Post(Input input) {
    std::lock_guard lock(mutex_);
    queue_.push_back(std::move(input));
    wake_.notify_one();
  }

  /// Runs a function on the machine in the control thread; blocks until it has
  /// returned.
  /// @return Result of the function.
  template <typename Function>
  auto Query(Function query) {
    using result = decltype(query(std::declval<const Machine&>()));
    auto task = std::make_shared<std::packaged_task<result()>>(
        [this, query] { return query(std::as_const(*machine_)); });
    {
      std::lock_guard lock(mutex_);
      if (has_ended_) {
        (*task)();  // The control thread has ended: the state changes no more.
      } else {
        queries_.push_back([task] { (*task)(); });
        wake_.notify_one();
      }
    }
    return task->get_future().get();
  }

  /// Feeds inputs and ticks to the machine and performs its outputs, until
  /// should_stop returns true.
  /// @param should_stop Called before each round.
  void Run(const std::function<bool()>& should_stop) {
    time_point last_step = std::chrono::steady_clock::now();
    time_point next_tick = last_step;
    while (!should_stop()) {
      std::deque<Input> inputs;
      std::deque<std::function<void()>> queries;
      {
        std::unique_lock lock(mutex_);
        wake_.wait_until(lock, next_tick, [this] {
          return !queue_.empty() || !queries_.empty();
        });
        inputs.swap(queue_);
        queries.swap(queries_);
      }
      time_point now = std::chrono::steady_clock::now();
      if (now - last_step > options_.pause_threshold)
        Step(now, typename Machine::pause_input());
      for (Input& input : inputs)
        Step(std::chrono::steady_clock::now(), input);
      for (auto& query : queries)
        query();
      now = std::chrono::steady_clock::now();
      if (now >= next_tick) {
        Step(now, typename Machine::tick_input());
        next_tick = now + options_.tick_interval;
      }
      last_step = now;
    }
    // So that what came before the end is answered by the machine, which knows
    // that it has not run.
    std::deque<Input> inputs;
    {
      std::lock_guard lock(mutex_);
      inputs.swap(queue_);
    }
    for (Input& input : inputs)
      Step(std::chrono::steady_clock::now(), input);
    std::lock_guard lock(mutex_);
    has_ended_ = true;
    for (auto& query : queries_)
      query();
  }

 private:
  void Step(time_point now, const Input& input) {
    output_list out = machine_->Step(now, input);
    if (!out.Items().empty())
      perform_(std::move(out.Items()));
  }

  control_loop_options options_;
  Machine* machine_;
  output_hook perform_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Input> queue_;
  std::deque<std::function<void()>> queries_;
  bool has_ended_ = false;  ///< Whether Run() has ended.
};

}  // namespace fuchsiafall

#endif  // NETWORK_CONTROL_LOOP_H_
