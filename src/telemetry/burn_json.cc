#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include "egretrack/telemetry/burn.h"

namespace egretrack::telemetry {

namespace json = boost::json;

// Boost.JSON finds the following conversions by argument-dependent lookup.
static void tag_invoke(json::value_from_tag /*tag*/,
                       json::value& value,
                       const burn_window& window) {
  value = {{"seconds", window.length.count()},
           {"requests", window.requests},
           {"missed", window.missed},
           {"burn", window.burn}};
}

static burn_window tag_invoke(json::value_to_tag<burn_window> /*tag*/,
                              const json::value& value) {
  burn_window window;
  window.length = seconds(value.at("seconds").to_number<std::int64_t>());
  window.requests = value.at("requests").to_number<std::uint64_t>();
  window.missed = value.at("missed").to_number<std::uint64_t>();
  window.burn = value.at("burn").to_number<double>();
  return window;
}

static void tag_invoke(json::value_from_tag /*tag*/,
                       json::value& value,
                       const desk_burn& desk) {
  value = {{"desk", desk.desk},
           {"objective", desk.objective},
           {"windows", json::value_from(desk.windows)},
           {"history", json::value_from(desk.history)}};
}

static desk_burn tag_invoke(json::value_to_tag<desk_burn> /*tag*/,
                            const json::value& value) {
  desk_burn desk;
  desk.desk = json::value_to<std::string>(value.at("desk"));
  desk.objective = value.at("objective").to_number<double>();
  desk.windows = json::value_to<std::vector<burn_window>>(value.at("windows"));
  desk.history = json::value_to<std::vector<double>>(value.at("history"));
  return desk;
}

std::string ToJson(const burn_report& report) {
  return json::serialize(
      json::value{{"desks", json::value_from(report.desks)}});
}

result<burn_report> ParseBurnReport(std::string_view text) {
  try {
    const json::value document =
        json::parse(json::string_view(text.data(), text.size()));
    return burn_report{
        json::value_to<std::vector<desk_burn>>(document.at("desks"))};
  } catch (const std::exception& failure) {
    return MakeError(errc::kParseFailed,
                     std::string("burn report: ") + failure.what());
  }
}

}  // namespace egretrack::telemetry
