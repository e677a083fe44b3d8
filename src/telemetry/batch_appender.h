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

// Hands formatted lines to a thread of its own, which writes them in batches,
// so that no thread that logs ever waits for the output. Lines that find the
// buffer full are dropped and counted in the output.
class batch_appender final : public log4cplus::Appender {
 public:
  // Takes over the descriptor when `owns` is set.
  batch_appender(int descriptor, bool owns);
  batch_appender(const batch_appender&) = delete;
  batch_appender& operator=(const batch_appender&) = delete;
  ~batch_appender() override;

  // Writes what is buffered and ends the thread.
  void close() override;

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void Run();
  void WriteAll(std::string_view text);

  const int descriptor_;
  const bool owns_;
  std::mutex mutex_;
  std::condition_variable filled_;
  std::string buffer_;         // Guarded by mutex_.
  std::uint64_t dropped_ = 0;  // Guarded by mutex_.
  bool closing_ = false;       // Guarded by mutex_.
  std::thread writer_;
};

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_TELEMETRY_BATCH_APPENDER_H_
