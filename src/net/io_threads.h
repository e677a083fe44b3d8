#ifndef EGRETRACK_NET_IO_THREADS_H_
#define EGRETRACK_NET_IO_THREADS_H_

#include <atomic>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace egretrack::net {

// An Asio I/O context and the traffic threads that run it.
class io_threads {
 public:
  explicit io_threads(unsigned threads);
  ~io_threads();
  io_threads(const io_threads&) = delete;
  io_threads& operator=(const io_threads&) = delete;

  boost::asio::io_context& context() { return context_; }
  // False once Finish() has been called. Handlers posted after that may never
  // run.
  bool running() const { return running_; }
  // Waits until all pending operations have ended and joins the threads. The
  // owners of the operations must have cancelled them. Must not be called on
  // one of these threads.
  void Finish();

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::atomic<bool> running_ = true;
  std::vector<std::thread> threads_;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_IO_THREADS_H_
