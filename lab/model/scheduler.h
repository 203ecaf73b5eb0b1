// The clock that a run goes by, and what is to happen when. The models know no other time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "balancer/balancer.h"

namespace lb::lab {

using lb::Duration;
using lb::TimePoint;

// Not thread-safe: one thread owns a scheduler and all that is scheduled on it. What a task refers to has to
// outlive the task, or the scheduler must not be run any more.
class Scheduler {
 public:
  using Task = std::function<void()>;
  virtual ~Scheduler() = default;
  virtual TimePoint Now() const = 0;
  // Runs `task` once at `when`, or as soon as possible where that is past; never inside this call. Tasks of
  // the same time run in the order in which they were scheduled.
  virtual void At(TimePoint when, Task task) = 0;
  void After(Duration wait, Task task) { At(Now() + wait, std::move(task)); }
};

// Tasks by time, those of the same time in the order of their adding. The heap holds small keys only: a run
// has tens of thousands of tasks waiting.
class TaskQueue {
 public:
  void Add(TimePoint when, Scheduler::Task task);
  bool empty() const { return heap_.empty(); }
  TimePoint next() const { return heap_.front().when; }  // of a queue that is not empty
  Scheduler::Task Take();                                // the next one; likewise

 private:
  struct Key {
    TimePoint when;
    std::uint64_t order = 0;
    std::size_t slot = 0;  // index into tasks_
  };
  struct Later {
    bool operator()(const Key& a, const Key& b) const {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };

  std::vector<Key> heap_;
  std::vector<Scheduler::Task> tasks_;
  std::vector<std::size_t> free_slots_;
  std::uint64_t order_ = 0;
};

// Discrete events: time jumps from one task to the next.
class VirtualScheduler : public Scheduler {
 public:
  TimePoint Now() const override { return now_; }
  void At(TimePoint when, Task task) override;
  // Runs all tasks up to `end`, and leaves the clock there.
  void RunUntil(TimePoint end);
  std::uint64_t tasks_run() const { return tasks_run_; }

 private:
  TaskQueue tasks_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t tasks_run_ = 0;
};

// The machine's steady clock, on an io_context's thread.
class RealScheduler : public Scheduler {
 public:
  explicit RealScheduler(boost::asio::io_context& io);
  TimePoint Now() const override;
  void At(TimePoint when, Task task) override;

 private:
  void Arm();
  void RunDue();

  TaskQueue tasks_;
  boost::asio::steady_timer timer_;
  std::optional<TimePoint> armed_for_;
};

}  // namespace lb::lab
