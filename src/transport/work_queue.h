#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cassiashed {

/// Threads that run tasks in the order of their arrival.
class WorkQueue {
public:
  explicit WorkQueue(int ThreadCount) {
    for (int Index = 0; Index < ThreadCount; ++Index)
      Threads_.emplace_back([this] { run(); });
  }
  WorkQueue(const WorkQueue &) = delete;
  WorkQueue &operator=(const WorkQueue &) = delete;
  ~WorkQueue() { finish(); }

  void push(std::function<void()> Task) {
    {
      const std::lock_guard Lock(Mutex_);
      Tasks_.push_back(std::move(Task));
    }
    Changed_.notify_one();
  }

  /// Runs the remaining tasks and ends the threads.
  void finish() {
    {
      const std::lock_guard Lock(Mutex_);
      Finishing_ = true;
    }
    Changed_.notify_all();
    for (std::thread &Thread : Threads_)
      if (Thread.joinable())
        Thread.join();
  }

private:
  void run() {
    std::unique_lock Lock(Mutex_);
    while (true) {
      Changed_.wait(Lock, [this] { return Finishing_ || !Tasks_.empty(); });
      if (Tasks_.empty())
        return;
      {
        const std::function<void()> Task = std::move(Tasks_.front());
        Tasks_.pop_front();
        Lock.unlock();
        Task();
      }
      Lock.lock();
    }
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<std::function<void()>> Tasks_;
  bool Finishing_ = false;
  std::vector<std::thread> Threads_;
};

} // namespace cassiashed
