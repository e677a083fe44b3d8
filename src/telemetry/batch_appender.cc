#include "telemetry/batch_appender.h"

#include <cerrno>
#include <csignal>
#include <sstream>
#include <string_view>

#include <unistd.h>

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include "egretrack/base/time.h"

namespace egretrack::telemetry {
namespace {

// About a second of lines at the limits of the event log.
constexpr std::size_t kMaxBuffer = 512U << 10U;
// Lines are collected for so long before they are written together; a write
// for each line would cost more than the line.
constexpr milliseconds kBatchTime{50};

}  // namespace

batch_appender::batch_appender(int descriptor, bool owns)
    : descriptor_(descriptor), owns_(owns) {
  // The thread inherits the mask: no signal of the process may end in it.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  writer_ = std::thread([this] { Run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

batch_appender::~batch_appender() {
  destructorImpl();
}

void batch_appender::close() {
  {
    const std::lock_guard lock(mutex_);
    if (closing_)
      return;
    closing_ = true;
    filled_.notify_all();
  }
  writer_.join();
  if (owns_)
    ::close(descriptor_);
}

void batch_appender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  const std::string text = std::move(line).str();
  const std::lock_guard lock(mutex_);
  if (buffer_.size() + text.size() > kMaxBuffer) {
    ++dropped_;
    return;
  }
  const bool was_empty = buffer_.empty();
  buffer_ += text;
  if (was_empty)
    filled_.notify_one();
}

void batch_appender::Run() {
  std::string batch;
  std::unique_lock lock(mutex_);
  while (!closing_ || !buffer_.empty()) {
    filled_.wait(lock, [this] { return closing_ || !buffer_.empty(); });
    filled_.wait_for(lock, kBatchTime, [this] { return closing_; });
    batch.swap(buffer_);
    if (dropped_ > 0) {
      batch +=
          "event=log_lines_dropped count=" + std::to_string(dropped_) + "\n";
      dropped_ = 0;
    }
    lock.unlock();
    WriteAll(batch);
    batch.clear();
    lock.lock();
  }
}

// A reader that is gone, or an output that fails, must not end the process.
void batch_appender::WriteAll(std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = ::write(descriptor_, text.data(), text.size());
    if (written > 0)
      text.remove_prefix(static_cast<std::size_t>(written));
    else if (errno != EINTR)
      return;
  }
}

}  // namespace egretrack::telemetry
