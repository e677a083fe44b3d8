#ifndef REVIEW_SECOND_RECORD_H_
#define REVIEW_SECOND_RECORD_H_

#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

// Writes lines with the time since its start to the record of a case.
class recorder {
 public:
  explicit recorder(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")),
        start_(std::chrono::steady_clock::now()) {}
  ~recorder() {
    if (file_ != nullptr)
      std::fclose(file_);
  }
  recorder(const recorder&) = delete;
  recorder& operator=(const recorder&) = delete;

  std::int64_t NowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - start_)
        .count();
  }

  [[gnu::format(printf, 2, 3)]] void Line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::va_list arguments;
    va_start(arguments, format);
    char text[4096];
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const auto now = static_cast<long long>(NowMs());
    if (file_ != nullptr) {
      std::fprintf(file_, "%8lld ms  %s\n", now, text);
      std::fflush(file_);
    }
    std::printf("%8lld ms  %s\n", now, text);
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const std::chrono::steady_clock::time_point start_;
};

}  // namespace review

#endif  // REVIEW_SECOND_RECORD_H_
