#include "lab/model/scheduler.h"

#include <algorithm>

namespace lb::lab {

void TaskQueue::Add(TimePoint when, Scheduler::Task task) {
  if (free_slots_.empty()) {
    free_slots_.push_back(tasks_.size());
    tasks_.emplace_back();
  }
  const std::size_t slot = free_slots_.back();
  free_slots_.pop_back();
  tasks_[slot] = std::move(task);
  heap_.push_back({when, order_++, slot});
  std::push_heap(heap_.begin(), heap_.end(), Later());
}

Scheduler::Task TaskQueue::PopNext() {
  std::pop_heap(heap_.begin(), heap_.end(), Later());
  const std::size_t slot = heap_.back().slot;
  heap_.pop_back();
  free_slots_.push_back(slot);
  return std::exchange(tasks_[slot], nullptr);
}

void VirtualScheduler::At(TimePoint when, Task task) { tasks_.Add(std::max(when, now_), std::move(task)); }

void VirtualScheduler::RunUntil(TimePoint end) {
  while (!tasks_.empty() && tasks_.next_time() <= end) {
    now_ = tasks_.next_time();
    ++tasks_run_;
    tasks_.PopNext()();
  }
  now_ = std::max(now_, end);
}

RealScheduler::RealScheduler(boost::asio::io_context& io) : timer_(io) {}

TimePoint RealScheduler::Now() const {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since_start));
}

void RealScheduler::At(TimePoint when, Task task) {
  tasks_.Add(std::max(when, Now()), std::move(task));
  ScheduleTimer();
}

void RealScheduler::ScheduleTimer() {
  if (tasks_.empty()) return;
  const TimePoint next_time = tasks_.next_time();
  if (timer_due_ && *timer_due_ <= next_time) return;
  timer_due_ = next_time;
  timer_.expires_at(std::chrono::steady_clock::time_point(next_time.time_since_epoch()));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) RunDue();
  });
}

// Runs only the tasks that are due at the start: a task that schedules another one without delay must not
// starve the sockets.
void RealScheduler::RunDue() {
  timer_due_.reset();
  const TimePoint due = Now();
  std::vector<Task> tasks;
  while (!tasks_.empty() && tasks_.next_time() <= due) tasks.push_back(tasks_.PopNext());
  for (const Task& task : tasks) task();
  ScheduleTimer();
}

}  // namespace lb::lab
