#include "entry/text_encoding.h"

#include <gtest/gtest.h>

namespace egretrack::entry {
namespace {

// Guards against malformed UTF-8 that is written into a JSON answer as text,
// which makes the answer invalid JSON.
TEST(TextEncoding, AcceptsOnlyWellFormedUtf8) {
  for (const char* const text :
       {"", "a", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80"})
    EXPECT_TRUE(IsUtf8(text)) << text;
  for (const char* const bytes :
       {"\xff", "\x80", "\xc3", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80",
        "\xe2\x82", "\xf4\x90\x80\x80", "a\xe2(\xa1"})
    EXPECT_FALSE(IsUtf8(bytes));
}

// Guards against results that decode to other bytes than the task returned. The
// test vectors are those of RFC 4648.
TEST(TextEncoding, EncodesBase64) {
  EXPECT_EQ(EncodeBase64(""), "");
  EXPECT_EQ(EncodeBase64("f"), "Zg==");
  EXPECT_EQ(EncodeBase64("fo"), "Zm8=");
  EXPECT_EQ(EncodeBase64("foo"), "Zm9v");
  EXPECT_EQ(EncodeBase64("foobar"), "Zm9vYmFy");
  EXPECT_EQ(EncodeBase64("\xff\xfe"), "//4=");
}

}  // namespace
}  // namespace egretrack::entry
