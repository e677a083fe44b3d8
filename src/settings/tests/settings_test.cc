#include "egretrack/settings/settings.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace egretrack::settings {
namespace {

constexpr std::string_view kValidEntry = R"(
role = "entry"
[entry]
id = "e1"
failure_domain = "palermo"
http = "127.0.0.1:0"
agents = "[::1]:7000"
table = "127.0.0.1:7100"
retention_s = 60
start_by_ms = 1500
[[entry.peers]]
id = "e2"
http = "127.0.0.1:8001"
[entry.log]
level = "debug"
)";

constexpr std::string_view kValidAgent = R"(
role = "agent"
[agent]
id = "a1"
failure_domain = "palermo"
http = "127.0.0.1:0"
entries = ["127.0.0.1:7000"]
)";

std::string AgentWithAppended(std::string_view extra) {
  return std::string(kValidAgent).append(extra);
}

std::vector<std::string> FaultTexts(std::string_view document) {
  std::vector<std::string> texts;
  for (const auto& fault : ParseSettings(document, "f").faults)
    texts.push_back(fault.ToString());
  return texts;
}

// Guards against entry keys that are read into the wrong member or unit.
TEST(Settings, ReadsEntry) {
  const auto outcome = ParseSettings(kValidEntry, "f");
  ASSERT_TRUE(outcome.faults.empty()) << outcome.faults.front().ToString();
  const auto& entry = std::get<entry_settings>(outcome.settings);
  EXPECT_EQ(entry.id, "e1");
  EXPECT_EQ(entry.agents, "[::1]:7000");
  EXPECT_EQ(entry.retention, seconds(60));
  EXPECT_EQ(entry.start_by, milliseconds(1500));
  EXPECT_EQ(entry.drain_grace, milliseconds(2000));
  ASSERT_EQ(entry.peers.size(), 1U);
  EXPECT_EQ(entry.peers[0].http, "127.0.0.1:8001");
  EXPECT_EQ(entry.log.level, "debug");
}

// Guards against agent keys that are not applied, such as the entries to
// connect to, or `push`, which selects the strategy for dispatches.
TEST(Settings, ReadsAgent) {
  const auto outcome =
      ParseSettings(AgentWithAppended("slots = 4\npush = true\n"), "f");
  ASSERT_TRUE(outcome.faults.empty()) << outcome.faults.front().ToString();
  const auto& agent = std::get<agent_settings>(outcome.settings);
  EXPECT_EQ(agent.entries, std::vector<std::string>{"127.0.0.1:7000"});
  EXPECT_EQ(agent.slots, 4U);
  EXPECT_TRUE(agent.push);
}

// Guards against a check that stops at the first fault, so that operators have
// to correct a file one fault at a time.
TEST(Settings, ReportsAllFaultsAtOnce) {
  const auto faults = FaultTexts(R"(
role = "agent"
colour = "red"
[agent]
id = "A 1"
http = "10.0.0.1:80"
entries = ["127.0.0.1:7000", "127.0.0.1:7000", "localhost:1"]
slots = 0
overcommit = "two"
sltos = 1
heartbeat_interval_ms = 2000
[agent.log]
level = "loud"
)");
  const std::vector<std::string> expected{
      "f: agent.failure_domain: required key is missing",
      "f: agent.id: 'A 1' is not 1 to 64 characters out of a-z, 0-9 and '-'",
      "f: agent.http: '10.0.0.1:80' is not a loopback address and port, as in "
      "127.0.0.1:80",
      "f: agent.entries: '127.0.0.1:7000' is listed twice",
      "f: agent.entries: 'localhost:1' is not an IP address and a port of 1 or "
      "more, as in 10.0.0.1:80",
      "f: agent.slots: 0 is not in the range 1 to 4096",
      "f: agent.overcommit: the value is not an integer",
      "f: agent.sltos: no such key",
      "f: agent.log.level: 'loud' is not trace, debug, info, warn, error or "
      "off",
      "f: agent.reconnect_after_ms: not longer than "
      "agent.heartbeat_interval_ms",
      "f: colour: no such key",
  };
  EXPECT_TRUE(std::is_permutation(faults.begin(), faults.end(),
                                  expected.begin(), expected.end()))
      << testing::PrintToString(faults);
}

struct fault_case {
  std::string name;
  std::string document;
  settings_errc code;
  std::string key;
};

std::ostream& operator<<(std::ostream& out, const fault_case& test_case) {
  return out << test_case.name;
}

class SettingsFault : public testing::TestWithParam<fault_case> {};

// Guards against invalid settings that are accepted or reported with a wrong
// error code or key. Each document contains one fault.
TEST_P(SettingsFault, IsTheOnlyReportedFault) {
  const auto faults = ParseSettings(GetParam().document, "f").faults;
  ASSERT_EQ(faults.size(), 1U)
      << testing::PrintToString(FaultTexts(GetParam().document));
  EXPECT_EQ(faults[0].code, GetParam().code);
  EXPECT_EQ(faults[0].key, GetParam().key);
  EXPECT_EQ(faults[0].file, "f");
  EXPECT_FALSE(faults[0].reason.empty());
}

std::string EntryWithReplaced(std::string_view from, std::string_view to) {
  std::string text(kValidEntry);
  return text.replace(text.find(from), from.size(), to);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    SettingsFault,
    testing::Values(
        fault_case{"Syntax", "role = ", settings_errc::kSyntax, ""},
        fault_case{"TableHeader", "[?", settings_errc::kSyntax, ""},
        fault_case{"LetterAsKey", "\u00e9 = 1", settings_errc::kSyntax, ""},
        fault_case{"NoRole", "", settings_errc::kMissingKey, "role"},
        fault_case{"UnknownRole", EntryWithReplaced("\"entry\"", "\"x\""),
                   settings_errc::kOutOfRange, "role"},
        fault_case{"RoleType", EntryWithReplaced("\"entry\"", "1"),
                   settings_errc::kWrongType, "role"},
        fault_case{"OtherRolesTable", AgentWithAppended("[entry]\n"),
                   settings_errc::kUnknownKey, "entry"},
        fault_case{"NoTable", "role = \"agent\"", settings_errc::kMissingKey,
                   "agent"},
        fault_case{"NotATable", "role = \"agent\"\nagent = 1",
                   settings_errc::kWrongType, "agent"},
        fault_case{"Float", AgentWithAppended("slots = 1.5"),
                   settings_errc::kWrongType, "agent.slots"},
        fault_case{"NotANumber",
                   EntryWithReplaced("start_by_ms = 1500", "long_share = nan"),
                   settings_errc::kOutOfRange, "entry.long_share"},
        fault_case{"Huge", AgentWithAppended("slots = 9223372036854775807"),
                   settings_errc::kOutOfRange, "agent.slots"},
        fault_case{"NoEntries",
                   std::string(kValidAgent)
                       .replace(kValidAgent.find("\"127.0.0.1:7"), 16, ""),
                   settings_errc::kOutOfRange, "agent.entries"},
        fault_case{"Slots", AgentWithAppended("slots = 65"),
                   settings_errc::kOutOfRange, "agent.connections"},
        fault_case{"CreditLease", AgentWithAppended("credit_lease_ms = 200"),
                   settings_errc::kOutOfRange, "agent.credit_lease_ms"},
        fault_case{"PeersType",
                   AgentWithAppended("").replace(
                       0,
                       kValidAgent.size(),
                       EntryWithReplaced("[[entry.peers]]", "[entry.peers]")),
                   settings_errc::kWrongType, "entry.peers"},
        fault_case{"PeerKey",
                   EntryWithReplaced("id = \"e2\"", "id = \"e2\"\nport = 1"),
                   settings_errc::kUnknownKey, "entry.peers[0].port"},
        fault_case{"PeerIsSelf", EntryWithReplaced("\"e2\"", "\"e1\""),
                   settings_errc::kDuplicate, "entry.peers"},
        fault_case{"PortZero",
                   EntryWithReplaced("127.0.0.1:7100", "127.0.0.1:0"),
                   settings_errc::kInvalidAddress, "entry.table"},
        fault_case{"SameAddress",
                   EntryWithReplaced("127.0.0.1:0", "[::1]:7000"),
                   settings_errc::kDuplicate, "entry.agents"},
        fault_case{"Retention",
                   EntryWithReplaced("retention_s = 60\nstart_by_ms = 1500",
                                     "retention_s = 1\nstart_by_ms = 1500"),
                   settings_errc::kOutOfRange, "entry.retention_s"}),
    [](const auto& param) { return param.param.name; });

// Guards against a first guess by which far runs are shorter than near ones,
// and against a fraction that is not read.
TEST(Settings, ReadsTheFarRunTimeFactorOfAJobEntry) {
  constexpr std::string_view kJobEntry = R"(
role = "job_entry"
[job_entry]
id = "e1"
failure_domain = "palermo"
jobs = "127.0.0.1:0"
readiness = "127.0.0.1:0"
agents = "127.0.0.1:7000"
internal = "127.0.0.1:0"
store = "127.0.0.1:7100"
far_run_time_factor = )";
  const std::string document(kJobEntry);
  EXPECT_EQ(FaultTexts(document + "2.5"), std::vector<std::string>());
  EXPECT_EQ(FaultTexts(document + "3"), std::vector<std::string>());
  const auto faults = ParseSettings(document + "0.9", "f").faults;
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].code, settings_errc::kOutOfRange);
  EXPECT_EQ(faults[0].key, "job_entry.far_run_time_factor");
}

// Guards against an unreadable file that is treated as an empty one.
TEST(Settings, ReportsUnreadableFile) {
  const auto faults = LoadSettings("/nonexistent/egretrack.toml").faults;
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].code, settings_errc::kUnreadable);
}

// Guards against corrupted files that crash the process.
TEST(Settings, ParsesCorruptedFilesWithoutCrash) {
  EXPECT_TRUE(rc::check("one changed byte of a valid file", [] {
    std::string text(kValidEntry);
    text[*rc::gen::inRange<std::size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
    const auto outcome = ParseSettings(text, "f");
    for (const auto& fault : outcome.faults)
      RC_ASSERT(!fault.reason.empty());
  }));
}

}  // namespace
}  // namespace egretrack::settings
