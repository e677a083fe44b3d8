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

// Holds about one second of lines at the rate limits of the event log.
constexpr std::size_t kMaxBufferBytes = 512U << 10U;
// Time for which lines are collected before one write(), because a write() per
// line would cost more than formatting the line.
constexpr milliseconds kBatchInterval{50};

}  // namespace

batch_appender::batch_appender(int descriptor, bool owns_descriptor)
    : descriptor_(descriptor), owns_descriptor_(owns_descriptor) {
  // The writer thread inherits the signal mask. It blocks all signals, so that
  // signals of the process are delivered to other threads.
  sigset_t all_signals;
  sigset_t previous_mask;
  sigfillset(&all_signals);
  pthread_sigmask(SIG_SETMASK, &all_signals, &previous_mask);
  writer_ = std::thread([this] { WriteBatches(); });
  pthread_sigmask(SIG_SETMASK, &previous_mask, nullptr);
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
    buffer_changed_.notify_all();
  }
  writer_.join();
  if (owns_descriptor_)
    ::close(descriptor_);
}

void batch_appender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  const std::string text = std::move(line).str();
  const std::lock_guard lock(mutex_);
  if (buffer_.size() + text.size() > kMaxBufferBytes) {
    ++dropped_;
    return;
  }
  const bool was_empty = buffer_.empty();
  buffer_ += text;
  if (was_empty)
    buffer_changed_.notify_one();
}

void batch_appender::WriteBatches() {
  std::string batch;
  std::unique_lock lock(mutex_);
  while (!closing_ || !buffer_.empty()) {
    buffer_changed_.wait(lock, [this] { return closing_ || !buffer_.empty(); });
    buffer_changed_.wait_for(lock, kBatchInterval, [this] { return closing_; });
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

// Discards the rest of the batch on a write error, because a closed pipe or a
// failing output must not end the process.
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
