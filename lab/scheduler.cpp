#include "scheduler.h"

#include <algorithm>
#include <tuple>

namespace aspendyke::lab {

bool TaskQueue::Later(const Entry& a, const Entry& b) {
  return std::tie(a.when, a.order) > std::tie(b.when, b.order);
}

void TaskQueue::Add(TimePoint when, Scheduler::Task task) {
  heap_.push_back({when, order_++, std::move(task)});
  std::push_heap(heap_.begin(), heap_.end(), Later);
}

Scheduler::Task TaskQueue::Take() {
  std::pop_heap(heap_.begin(), heap_.end(), Later);
  Scheduler::Task task = std::move(heap_.back().task);
  heap_.pop_back();
  return task;
}

void VirtualScheduler::At(TimePoint when, Task task) { tasks_.Add(std::max(when, now_), std::move(task)); }

void VirtualScheduler::RunUntil(TimePoint end) {
  while (!tasks_.empty() && tasks_.next() <= end) {
    now_ = tasks_.next();
    ++tasks_run_;
    tasks_.Take()();
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
  Arm();
}

void RealScheduler::Arm() {
  if (tasks_.empty()) return;
  const TimePoint next = tasks_.next();
  if (armed_for_ && *armed_for_ <= next) return;
  armed_for_ = next;
  timer_.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) RunDue();
  });
}

// Only what is due now: a task that schedules another one for at once must not starve the sockets.
void RealScheduler::RunDue() {
  armed_for_.reset();
  const TimePoint due = Now();
  std::vector<Task> tasks;
  while (!tasks_.empty() && tasks_.next() <= due) tasks.push_back(tasks_.Take());
  for (const Task& task : tasks) task();
  Arm();
}

}  // namespace aspendyke::lab
