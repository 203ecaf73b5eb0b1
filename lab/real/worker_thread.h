// A thread that runs an io_context, with functions to run tasks on it from other threads.
#pragma once

#include <pthread.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <ctime>
#include <exception>
#include <future>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace lb::lab {

// Objects that use the io_context must outlive the call of Stop(). Start(), Stop() and Ask() must be called
// on one thread; Post() may be called on any.
class WorkerThread {
 public:
  explicit WorkerThread(std::string name) : name_(std::move(name)) {}
  ~WorkerThread() { Stop(); }
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  boost::asio::io_context& io() { return io_; }

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  // Ends the thread after the handler that it is running.
  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  template <typename Task>
  void Post(Task task) {
    boost::asio::post(io_, std::move(task));
  }

  // Runs `read` on the thread and returns its result. Throws the exception that `read` throws, the exception
  // that ended the thread, or std::runtime_error if `read` has not returned within `timeout`.
  template <typename Read>
  auto RunAndWait(Read read, std::chrono::microseconds timeout) -> decltype(read()) {
    auto task = std::make_shared<std::packaged_task<decltype(read())()>>(std::move(read));
    auto result = task->get_future();
    Post([task] { (*task)(); });
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (result.wait_for(kFailureCheckInterval) != std::future_status::ready) {
      RethrowFailure();
      if (std::chrono::steady_clock::now() >= end)
        throw std::runtime_error(name_ + " did not answer within the timeout");
    }
    return result.get();
  }

  // Processor time of the thread in seconds; 0 if it does not run.
  double CpuSeconds() {
    clockid_t clock{};
    timespec spent{};
    if (!thread_.joinable() || pthread_getcpuclockid(thread_.native_handle(), &clock) != 0) return 0;
    clock_gettime(clock, &spent);
    return static_cast<double>(spent.tv_sec) + 1e-9 * static_cast<double>(spent.tv_nsec);
  }

  // Throws the exception that ended the thread, if any.
  void RethrowFailure() {
    const std::lock_guard lock(mutex_);
    if (failure_) std::rethrow_exception(failure_);
  }

 private:
  static constexpr auto kFailureCheckInterval = std::chrono::milliseconds(20);

  void Run() {
    try {
      const auto work = boost::asio::make_work_guard(io_);
      io_.run();
    } catch (...) {
      const std::lock_guard lock(mutex_);
      failure_ = std::current_exception();
    }
  }

  const std::string name_;
  boost::asio::io_context io_{1};
  std::thread thread_;
  std::mutex mutex_;
  std::exception_ptr failure_;  // guarded by mutex_
};

}  // namespace lb::lab
