// Schedulers that run timed tasks on the virtual or the real clock. The models take the time from here only.
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

// Not thread-safe: a scheduler and everything scheduled on it belong to one thread. Objects that a task
// refers to must outlive the task, unless the scheduler is not run any more.
class Scheduler {
 public:
  using Task = std::function<void()>;
  virtual ~Scheduler() = default;
  virtual TimePoint Now() const = 0;
  // Runs `task` once at `when`, or as soon as possible if `when` is in the past, but never inside this call.
  // Tasks with the same time run in the order in which they were scheduled.
  virtual void At(TimePoint when, Task task) = 0;
  void After(Duration wait, Task task) { At(Now() + wait, std::move(task)); }
};

// Tasks ordered by time; tasks with the same time keep the order of Add(). The heap holds only small keys and
// the tasks stay in slots, because a run has tens of thousands of pending tasks.
class TaskQueue {
 public:
  void Add(TimePoint when, Scheduler::Task task);
  bool empty() const { return heap_.empty(); }
  TimePoint next_time() const { return heap_.front().when; }  // the queue must not be empty
  Scheduler::Task PopNext();  // removes the next task; the queue must not be empty

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

// Discrete-event simulation: the time jumps from one task to the next.
class VirtualScheduler : public Scheduler {
 public:
  TimePoint Now() const override { return now_; }
  void At(TimePoint when, Task task) override;
  // Runs all tasks due up to and including `end`, then sets the clock to `end`.
  void RunUntil(TimePoint end);
  std::uint64_t tasks_run() const { return tasks_run_; }

 private:
  TaskQueue tasks_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t tasks_run_ = 0;
};

// Runs tasks by the machine's steady clock on the thread of an io_context.
class RealScheduler : public Scheduler {
 public:
  explicit RealScheduler(boost::asio::io_context& io);
  TimePoint Now() const override;
  void At(TimePoint when, Task task) override;

 private:
  void ScheduleTimer();
  void RunDue();

  TaskQueue tasks_;
  boost::asio::steady_timer timer_;
  std::optional<TimePoint> timer_due_;
};

}  // namespace lb::lab
