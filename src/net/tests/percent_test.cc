#include "egretrack/net/percent.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace egretrack::net {
namespace {

// Guards against keys that change when encoded into a path and decoded again.
RC_GTEST_PROP(Percent, DecodeInvertsEncode, (std::string text)) {
  RC_ASSERT(PercentDecode(PercentEncode(text)) == text);
}

// Guards against keys whose delimiters add a path segment or a query.
TEST(Percent, EncodesDelimiters) {
  EXPECT_EQ(PercentEncode("a/b?c=d&e f"), "a%2Fb%3Fc%3Dd%26e%20f");
}

// Guards against reading past the end of a truncated escape.
TEST(Percent, KeepsInvalidEscapes) {
  EXPECT_EQ(PercentDecode("%"), "%");
  EXPECT_EQ(PercentDecode("a%4"), "a%4");
  EXPECT_EQ(PercentDecode("%zz%41"), "%zzA");
}

}  // namespace
}  // namespace egretrack::net
