#include <gtest/gtest.h>

#include "egretrack/base/file.h"
#include "settings/keys.h"
#include "toml/tests/key_page.h"

namespace egretrack::settings {
namespace {

// Guards against a page whose keys, defaults or ranges differ from the code.
TEST(SettingsPage, MatchesKeyTables) {
  const std::string page =
      ReadFile(EGRETRACK_SOURCE_DIR "/docs/settings.md").value();
  EXPECT_EQ(keys::FindPageMismatches(page, "## `[entry]`", EntryKeys()), "");
  EXPECT_EQ(keys::FindPageMismatches(page, "## `[[entry.peers]]`", PeerKeys()),
            "");
  EXPECT_EQ(keys::FindPageMismatches(page, "## `[agent]`", AgentKeys()), "");
  EXPECT_EQ(keys::FindPageMismatches(page, "## `[job_entry]`", JobEntryKeys()),
            "");
  EXPECT_EQ(keys::FindPageMismatches(page, "## `[job_agent]`", JobAgentKeys()),
            "");
  EXPECT_EQ(
      keys::FindPageMismatches(page, "## `[log]` of each role", LogKeys()), "");
}

// Guards against examples that the daemon rejects.
TEST(SettingsExamples, AreValid) {
  for (const auto* name : {"entry", "agent"}) {
    const std::string file =
        std::string(EGRETRACK_SOURCE_DIR "/examples/") + name + ".toml";
    for (const auto& fault : LoadSettings(file).faults)
      ADD_FAILURE() << fault.ToString();
  }
}

}  // namespace
}  // namespace egretrack::settings
