#include <gtest/gtest.h>

#include "egretrack/base/file.h"
#include "egretrack/objects/check.h"
#include "objects/sections.h"
#include "toml/tests/key_page.h"

namespace egretrack::objects {
namespace {

// Guards against a page whose keys, defaults or ranges differ from the code.
TEST(ObjectsPage, MatchesKeyTables) {
  const std::string page =
      ReadFile(EGRETRACK_SOURCE_DIR "/docs/objects.md").value();
  ForEachSection([&](const auto& section) {
    const std::string heading = "## `[" + section.QualifiedName("NAME") + "]`";
    EXPECT_EQ(keys::FindPageMismatches(page, heading, section.rules), "")
        << heading;
  });
}

result<configuration_ptr> LoadExample(std::string_view name) {
  const std::string file =
      EGRETRACK_SOURCE_DIR "/examples/" + std::string(name) + ".toml";
  return LoadConfiguration(1, ReadFile(file).value());
}

// Guards against an example that fails the checks and can't be published, or
// that declares wrong kinds as idempotent.
TEST(ObjectExamples, BancoTurniIsValid) {
  const auto loaded = LoadExample("banco-turni");
  ASSERT_TRUE(loaded.has_value()) << loaded.error().ToString();
  const object_set& set = (*loaded)->objects;
  EXPECT_FALSE(FindKind(set, "confirm-shift")->idempotent);
  EXPECT_FALSE(FindKind(set, "reassign-shift")->idempotent);
  EXPECT_TRUE(FindKind(set, "find-engineer")->idempotent);
}

// Guards against an example whose shifts leave the booking endpoint open when
// the desk has no staff, such as on Monday at 23:00.
TEST(ObjectExamples, RiparazioniClosesBookingAtNight) {
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
