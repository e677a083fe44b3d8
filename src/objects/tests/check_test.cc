#include "egretrack/objects/check.h"

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace egretrack::objects {
namespace {

constexpr std::string_view kValidDocument = R"(
[desk.d]
objective = 0.99
[request_kind.k]
desk = "d"
deadline_ms = 1500
[endpoint.e]
desk = "d"
kinds = ["k"]
[shift.day]
desk = "d"
days = ["mon", "fri"]
opens = "08:00"
closes = "18:00"
endpoints = ["e"]
limits = ["l"]
[limit.l]
desk = "d"
team = "t"
parent = "all"
max_running = 4
[limit.all]
desk = "d"
max_running = 8
)";

std::string WithAppended(std::string_view extra) {
  return std::string(kValidDocument).append(extra);
}

std::string WithReplaced(std::string_view from, std::string_view to) {
  std::string text(kValidDocument);
  return text.replace(text.find(from), from.size(), to);
}

std::vector<std::string> FaultTexts(std::string_view document) {
  std::vector<std::string> texts;
  for (const auto& fault : CheckDocument(document).faults)
    texts.push_back(fault.ToString());
  return texts;
}

// Guards against valid documents that are rejected or read into wrong members.
TEST(CheckDocument, ReadsEveryObject) {
  const auto outcome = CheckDocument(kValidDocument);
  ASSERT_TRUE(outcome.faults.empty()) << outcome.faults.front().ToString();
  EXPECT_DOUBLE_EQ(FindDesk(outcome.objects, "d")->objective, 0.99);
  EXPECT_EQ(FindKind(outcome.objects, "k")->deadline, milliseconds(1500));
  EXPECT_EQ(FindEndpoint(outcome.objects, "e")->kinds.front(), "k");
  EXPECT_EQ(FindShift(outcome.objects, "day")->days, 0b0010001);
  EXPECT_EQ(FindShift(outcome.objects, "day")->closes, 18 * 60);
  EXPECT_EQ(FindTeamLimit(outcome.objects, "d", "t")->name, "l");
  EXPECT_EQ(FindTeamLimit(outcome.objects, "d", ""), nullptr);
}

struct fault_case {
  std::string name;
  std::string document;
  config_errc code;
  std::string object;
  std::string key;
};

std::ostream& operator<<(std::ostream& out, const fault_case& test_case) {
  return out << test_case.name;
}

class ConfigFault : public testing::TestWithParam<fault_case> {};

// Guards against invalid documents that are accepted or reported with a wrong
// error code, object or key. Each document contains one fault.
TEST_P(ConfigFault, IsTheOnlyReportedFault) {
  const auto faults = CheckDocument(GetParam().document).faults;
  ASSERT_EQ(faults.size(), 1U)
      << testing::PrintToString(FaultTexts(GetParam().document));
  EXPECT_EQ(faults[0].code, GetParam().code) << faults[0].ToString();
  EXPECT_EQ(faults[0].object, GetParam().object);
  EXPECT_EQ(faults[0].key, GetParam().key);
  EXPECT_FALSE(LoadConfiguration(1, GetParam().document).has_value());
}

std::string SecondShift(std::string_view days,
                        std::string_view opens,
                        std::string_view closes) {
  return WithAppended("[shift.night]\ndesk = \"d\"\ndays = [" +
                      std::string(days) + "]\nopens = \"" + std::string(opens) +
                      "\"\ncloses = \"" + std::string(closes) + "\"\n");
}

// Returns a dotted key with `count` levels above its last part. 500,000 levels
// are rejected because freeing so many tables could overflow the stack.
std::string DottedKey(int count) {
  std::string text;
  for (int level = 0; level < count; ++level)
    text += "a.";
  return text + "a = 1";
}

// Returns limits x1 to x<count>, each of which is the parent of the one before.
std::string LimitChain(int count) {
  std::string text;
  for (int level = 1; level <= count; ++level) {
    text += "[limit.x" + std::to_string(level) + "]\ndesk = \"d\"\n";
    if (level < count)
      text += "parent = \"x" + std::to_string(level + 1) + "\"\n";
  }
  return text;
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ConfigFault,
    testing::Values(
        fault_case{"Syntax", "[desk", config_errc::kSyntax, "", ""},
        fault_case{"TableHeader", "[?", config_errc::kSyntax, "", ""},
        fault_case{"LetterAsKey", "\u00e9 = 1", config_errc::kSyntax, "", ""},
        fault_case{"TooLong", std::string((1U << 20U) + 1, '#'),
                   config_errc::kSyntax, "", ""},
        fault_case{"TooDeep", DottedKey(500000), config_errc::kSyntax, "", ""},
        fault_case{"Empty", "", config_errc::kMissingKey, "", "desk"},
        fault_case{"UnknownSection", WithAppended("[dsek.x]"),
                   config_errc::kUnknownKey, "", "dsek"},
        fault_case{
            "SectionType",
            "limit = 1\n" + std::string(kValidDocument)
                                .substr(0, kValidDocument.find("[shift")),
            config_errc::kWrongType, "limit", ""},
        fault_case{"ObjectType", WithAppended("[request_kind]\nx = 1"),
                   config_errc::kWrongType, "request_kind.x", ""},
        fault_case{"UnknownKey", WithReplaced("objective", "objectiv"),
                   config_errc::kUnknownKey, "desk.d", "objectiv"},
        fault_case{"MissingKey", WithReplaced("desk = \"d\"\ndays", "days"),
                   config_errc::kMissingKey, "shift.day", "desk"},
        fault_case{"Unserved", WithReplaced("kinds = [\"k\"]", "kinds = []"),
                   config_errc::kUnservedKind, "request_kind.k", ""},
        fault_case{
            "TooManyLevels",
            WithReplaced("[limit.all]",
                         LimitChain(16) + "[limit.all]\nparent = \"x1\""),
            config_errc::kLimitCycle, "limit.l", "parent"},
        fault_case{"WrongType", WithReplaced("1500", "\"1500\""),
                   config_errc::kWrongType, "request_kind.k", "deadline_ms"},
        fault_case{"Objective", WithReplaced("0.99", "1.0"),
                   config_errc::kOutOfRange, "desk.d", "objective"},
        fault_case{"Clock", WithReplaced("18:00", "18:60"),
                   config_errc::kOutOfRange, "shift.day", "closes"},
        fault_case{"Opens", WithReplaced("08:00", "24:00"),
                   config_errc::kOutOfRange, "shift.day", "opens"},
        fault_case{"Day", WithReplaced("\"fri\"", "\"Fri\""),
                   config_errc::kOutOfRange, "shift.day", "days"},
        fault_case{"NoDay", WithReplaced("\"mon\", \"fri\"", ""),
                   config_errc::kOutOfRange, "shift.day", "days"},
        fault_case{"Deadline", WithReplaced("1500", "40000"),
                   config_errc::kOutOfRange, "request_kind.k", "deadline_ms"},
        fault_case{"Name", WithAppended("[desk.\"a b\"]"),
                   config_errc::kInvalidName, "desk.a b", ""},
        fault_case{"TwiceInList", WithReplaced("[\"e\"]", "[\"e\", \"e\"]"),
                   config_errc::kInvalidName, "shift.day", "endpoints"},
        fault_case{"UnknownDesk",
                   WithAppended("[endpoint.e2]\ndesk = \"x\"\nkinds = []"),
                   config_errc::kUnknownName, "endpoint.e2", "desk"},
        fault_case{"UnknownKind", WithReplaced("[\"k\"]", "[\"k\", \"x\"]"),
                   config_errc::kUnknownName, "endpoint.e", "kinds"},
        fault_case{"ForeignDesk",
                   WithAppended("[desk.d2]\n[endpoint.e2]\ndesk = \"d2\"\n"
                                "kinds = [\"k\"]\n"),
                   config_errc::kUnknownName, "endpoint.e2", "kinds"},
        fault_case{"DuplicateTeam",
                   WithReplaced("[\"l\"]", "[\"l\", \"m\"]") +
                       "[limit.m]\ndesk = \"d\"\nteam = \"t\"\n",
                   config_errc::kDuplicateTeam, "limit.m", "team"},
        fault_case{"NoTeam", WithReplaced("parent = \"all\"\n", ""),
                   config_errc::kMissingKey, "limit.all", "team"},
        fault_case{"Cycle",
                   WithReplaced("[limit.all]",
                                "[limit.all]\nparent = "
                                "\"all\""),
                   config_errc::kLimitCycle, "limit.all", "parent"},
        fault_case{"Overlap", SecondShift("\"fri\"", "17:59", "20:00"),
                   config_errc::kShiftOverlap, "shift.night", ""},
        fault_case{"OverlapNextDay", SecondShift("\"sun\"", "20:00", "08:01"),
                   config_errc::kShiftOverlap, "shift.night", ""},
        fault_case{"AboveParent",
                   WithReplaced("max_running = 4", "max_running = 9"),
                   config_errc::kUnreachableLimit, "limit.l", "max_running"},
        fault_case{"NeverOpen", WithReplaced("limits = [\"l\"]", ""),
                   config_errc::kUnreachableLimit, "limit.l", ""},
        fault_case{
            "NoEndpoint",
            WithAppended("[desk.d2]\n[limit.m]\ndesk = \"d2\"\nteam = \"t\"\n"),
            config_errc::kUnreachableLimit, "limit.m", "desk"},
        fault_case{
            "Slots",
            WithReplaced("kinds = [\"k\"]", "kinds = [\"k\"]\nslots = 65"),
            config_errc::kUnreachableLimit, "endpoint.e", "slots"}),
    [](const auto& param) { return param.param.name; });

// Guards against adjacent shifts that are reported as overlapping.
TEST(CheckDocument, AcceptsAdjacentShifts) {
  EXPECT_TRUE(FaultTexts(SecondShift("\"fri\"", "18:00", "08:00")).empty());
  EXPECT_TRUE(FaultTexts(SecondShift("\"sun\"", "20:00", "08:00")).empty());
}

// Guards against a check that stops at the first fault, so that operators have
// to correct a document one fault at a time.
TEST(CheckDocument, ReportsAllFaultsAtOnce) {
  const auto faults = FaultTexts(R"(
[desk.d]
[request_kind.k]
desk = "x"
max_tasks = 1201
[limit.a]
desk = "d"
team = "t"
parent = "b"
[limit.b]
desk = "d"
team = "t"
parent = "a"
)");
  const std::vector<std::string> expected{
      "request_kind.k: max_tasks: 1201 is not in the range 1 to 1200",
      "request_kind.k: desk: desk 'x' does not exist",
      "request_kind.k: no endpoint serves this kind",
      "limit.b: team: team 't' already has limit 'a'",
      "limit.a: parent: the parents form a cycle",
      "limit.b: parent: the parents form a cycle",
      "limit.a: desk: desk 'd' has no endpoint",
      "limit.b: desk: desk 'd' has no endpoint",
  };
  EXPECT_EQ(faults, expected);
}

// Guards against a diff that omits a change. An operator whose publication
// conflicts with another one relies on the diff.
TEST(Diff, ReportsObjectAndKeyOfEachChange) {
  const auto before = CheckDocument(kValidDocument).objects;
  const auto after = CheckDocument(WithReplaced("\"mon\", \"fri\"", "\"tue\"") +
                                   "[desk.new]\n")
                         .objects;
  const auto changes = Diff(before, after);
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].kind, change_kind::kAdded);
  EXPECT_EQ(changes[0].object, "desk.new");
  EXPECT_EQ(changes[1].object, "shift.day");
  EXPECT_EQ(changes[1].key, "days");
  EXPECT_EQ(changes[1].before, "[\"mon\", \"fri\"]");
  EXPECT_EQ(changes[1].after, "[\"tue\"]");
  EXPECT_EQ(Diff(after, before)[0].kind, change_kind::kRemoved);
}

// Generates documents from random lines in random order. Most lines are valid,
// so that the checks of relations are reached as well.
rc::Gen<std::string> ArbitraryDocument() {
  const auto line = rc::gen::element<std::string>(
      "[desk.d]", "[request_kind.k]", "[endpoint.e]", "[shift.s]", "[limit.l]",
      "[limit.m]", "[limit]", "desk = \"d\"", "desk = \"x\"", "kinds = [\"k\"]",
      "kinds = [1]", "days = [\"mon\"]", "opens = \"23:59\"",
      "closes = \"00:00\"", "limits = [\"l\", \"m\"]", "endpoints = [\"e\"]",
      "parent = \"l\"", "parent = \"m\"", "team = \"t\"", "max_running = 3",
      "max_tasks = -1", "objective = inf", "desk = {d = {}}", "x = 1979-05-27");
  const auto lines = rc::gen::container<std::vector<std::string>>(
      rc::gen::weightedOneOf<std::string>(
          {{20, line}, {1, rc::gen::arbitrary<std::string>()}}));
  return rc::gen::map(lines, [](const std::vector<std::string>& all) {
    std::string text;
    for (const auto& one : all)
      text += one + "\n";
    return text;
  });
}

// Guards against documents that crash an entry or are accepted in part.
TEST(CheckDocument, ChecksArbitraryDocumentsWithoutCrash) {
  EXPECT_TRUE(rc::check("a fault or a usable set", [] {
    const std::string document = *ArbitraryDocument();
    const auto outcome = CheckDocument(document);
    const auto loaded = LoadConfiguration(7, document);
    RC_ASSERT(loaded.has_value() == outcome.faults.empty());
    RC_ASSERT(Diff(outcome.objects, outcome.objects).empty());
  }));
}

}  // namespace
}  // namespace egretrack::objects
