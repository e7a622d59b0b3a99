/// @file control_loop.h The one control thread that runs a state machine.
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
  milliseconds pause{1500};  ///< Gap between two steps that counts as a pause.
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

  /// Runs a question on the control thread and waits for its answer.
  template <typename Question>
  auto Ask(Question question) {
    using answer = decltype(question(std::declval<const Machine&>()));
    auto task = std::make_shared<std::packaged_task<answer()>>(
        [this, question] { return question(std::as_const(*machine_)); });
    {
      std::lock_guard lock(mutex_);
      if (is_closed_) {
        (*task)();  // The control thread is gone, and with it all changes.
      } else {
        questions_.push_back([task] { (*task)(); });
        wake_.notify_one();
      }
    }
    return task->get_future().get();
  }

  /// Takes input, advances the state, performs what came out; until the machine
  /// is drained.
  /// @param should_stop Asked after each round.
  void Run(const std::function<bool()>& should_stop) {
    time_point last_step = std::chrono::steady_clock::now();
    time_point next_tick = last_step;
    while (!should_stop()) {
      std::deque<Input> inputs;
      std::deque<std::function<void()>> questions;
      {
        std::unique_lock lock(mutex_);
        wake_.wait_until(lock, next_tick, [this] {
          return !queue_.empty() || !questions_.empty();
        });
        inputs.swap(queue_);
        questions.swap(questions_);
      }
      time_point now = std::chrono::steady_clock::now();
      if (now - last_step > options_.pause)
        Step(now, typename Machine::pause_input());
      for (Input& input : inputs)
        Step(std::chrono::steady_clock::now(), input);
      for (auto& question : questions)
        question();
      now = std::chrono::steady_clock::now();
      if (now >= next_tick) {
        Step(now, typename Machine::tick_input());
        next_tick = now + options_.tick_interval;
      }
      last_step = now;
    }
    std::lock_guard lock(mutex_);
    is_closed_ = true;
    for (auto& question : questions_)
      question();
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
  std::deque<std::function<void()>> questions_;
  bool is_closed_ = false;  ///< Whether Run() has ended.
};

}  // namespace fuchsiafall

#endif  // NETWORK_CONTROL_LOOP_H_
