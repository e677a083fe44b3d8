#include "egretrack/telemetry/event_log.h"

#include <array>
#include <charconv>

namespace egretrack::telemetry {
namespace {

constexpr seconds kRateWindow{1};

void AppendText(std::string& line, std::string_view text) {
  const bool plain = !text.empty() &&
                     text.find_first_of(" \"=\t\r\n") == std::string_view::npos;
  if (plain) {
    line += text;
    return;
  }
  line += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\')
      line += '\\';
    line += c;
  }
  line += '"';
}

void AppendNumber(std::string& line, std::int64_t number) {
  std::array<char, 24> digits{};
  const auto [end, code] =
      std::to_chars(digits.data(), digits.data() + digits.size(), number);
  line.append(digits.data(), end);
}

}  // namespace

std::string FormatEvent(std::string_view event,
                        std::string_view job,
                        std::span<const event_field> fields) {
  std::string line = "event=";
  line += event;
  if (!job.empty()) {
    line += " job=";
    AppendText(line, job);
  }
  for (const event_field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    if (const auto* number = std::get_if<std::int64_t>(&field.value))
      AppendNumber(line, *number);
    else
      AppendText(line, std::get<std::string>(field.value));
  }
  return line;
}

void event_log::Write(std::string_view event,
                      bool explains_failure,
                      std::string_view job,
                      std::span<const event_field> fields,
                      monotonic_time now) {
  ReportSuppressed(now);
  auto counts = counts_.find(event);
  if (counts == counts_.end())
    counts = counts_.emplace(std::string(event), line_counts()).first;
  const std::uint32_t limit = explains_failure
                                  ? limits_.failure_lines_per_second
                                  : limits_.lines_per_second;
  if (counts->second.written >= limit) {
    ++counts->second.suppressed;
    ++suppressed_;
    return;
  }
  ++counts->second.written;
  log_.Info(FormatEvent(event, job, fields));
}

void event_log::ReportSuppressed(monotonic_time now) {
  if (now - window_start_ < kRateWindow)
    return;
  window_start_ = now;
  for (auto& [event, counts] : counts_) {
    if (counts.suppressed > 0) {
      const std::array<event_field, 2> fields{
          event_field{"of", event},
          event_field{"count", std::int64_t{counts.suppressed}}};
      log_.Warn(FormatEvent("lines_left_out", "", fields));
    }
    counts = {};
  }
}

}  // namespace egretrack::telemetry
