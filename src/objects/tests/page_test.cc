#include <gtest/gtest.h>

#include "egretrack/base/file.h"
#include "egretrack/objects/check.h"
#include "objects/sections.h"
#include "toml/tests/key_page.h"

namespace egretrack::objects {
namespace {

// Guards against a page that promises other keys, defaults or ranges than the
// code has.
TEST(ObjectsPage, AgreesWithTheCode) {
  const std::string page =
      ReadFile(EGRETRACK_SOURCE_DIR "/docs/objects.md").value();
  ForEachSection([&](const auto& kind) {
    const std::string heading = "## `[" + kind.Place("NAME") + "]`";
    EXPECT_EQ(keys::PageFaults(page, heading, kind.rules), "") << heading;
  });
}

result<configuration_ptr> LoadExample(std::string_view name) {
  const std::string file =
      EGRETRACK_SOURCE_DIR "/examples/" + std::string(name) + ".toml";
  return LoadConfiguration(1, ReadFile(file).value());
}

// Guards against examples that cannot be published.
TEST(ObjectExamples, BancoTurni) {
  const auto loaded = LoadExample("banco-turni");
  ASSERT_TRUE(loaded.has_value()) << loaded.error().ToString();
  const object_set& set = (*loaded)->objects;
  EXPECT_FALSE(FindKind(set, "confirm-shift")->idempotent);
  EXPECT_FALSE(FindKind(set, "reassign-shift")->idempotent);
  EXPECT_TRUE(FindKind(set, "find-engineer")->idempotent);
}

// Guards against bookings while nobody is there to take them: Monday 23:00.
TEST(ObjectExamples, RiparazioniBooksNothingAtNight) {
  using namespace std::chrono_literals;
  const auto loaded = LoadExample("riparazioni");
  ASSERT_TRUE(loaded.has_value()) << loaded.error().ToString();
  const object_set& set = (*loaded)->objects;
  const wall_time monday =
      std::chrono::sys_days(std::chrono::year(2026) / 12 / 7);
  const endpoint* booking = FindEndpoint(set, "booking");
  EXPECT_TRUE(IsEndpointOpen(set, *booking, monday + 12h));
  EXPECT_FALSE(IsEndpointOpen(set, *booking, monday + 23h));
  EXPECT_TRUE(IsEndpointOpen(set, *FindEndpoint(set, "quotes"), monday + 23h));
  EXPECT_EQ(booking->kinds, std::vector<std::string>{"book-pickup"});
}

}  // namespace
}  // namespace egretrack::objects
