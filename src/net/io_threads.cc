#include "net/io_threads.h"

#include <algorithm>

namespace egretrack::net {

io_threads::io_threads(unsigned threads)
    : work_(boost::asio::make_work_guard(context_)) {
  const unsigned count = std::max(threads, 1U);
  for (unsigned i = 0; i < count; ++i)
    threads_.emplace_back([this] { context_.run(); });
}

io_threads::~io_threads() {
  Finish();
}

void io_threads::Finish() {
  running_ = false;
  work_.reset();
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

}  // namespace egretrack::net
