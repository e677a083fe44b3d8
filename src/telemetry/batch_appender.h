#ifndef EGRETRACK_TELEMETRY_BATCH_APPENDER_H_
#define EGRETRACK_TELEMETRY_BATCH_APPENDER_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

#include <log4cplus/appender.h>

namespace egretrack::telemetry {

// log4cplus appender that passes formatted lines to a writer thread, which
// writes them in batches, so that threads that log never wait for the output.
// Lines are dropped while the buffer is full, and their number is logged.
class batch_appender final : public log4cplus::Appender {
 public:
  // Closes `descriptor` in close() if `owns_descriptor` is set.
  batch_appender(int descriptor, bool owns_descriptor);
  batch_appender(const batch_appender&) = delete;
  batch_appender& operator=(const batch_appender&) = delete;
  ~batch_appender() override;

  // Writes all buffered lines and ends the writer thread.
  void close() override;

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void WriteBatches();
  void WriteAll(std::string_view text);

  const int descriptor_;
  const bool owns_descriptor_;
  std::mutex mutex_;
  std::condition_variable buffer_changed_;
  std::string buffer_;         // Guarded by mutex_.
  std::uint64_t dropped_ = 0;  // Guarded by mutex_.
  bool closing_ = false;       // Guarded by mutex_.
  std::thread writer_;
};

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_TELEMETRY_BATCH_APPENDER_H_
