#include "net/connection_liveness.h"

#include <gtest/gtest.h>

namespace egretrack::net {
namespace {

constexpr monotonic_time kStart{seconds(100)};
constexpr milliseconds kLongWait{500};
constexpr milliseconds kShortWait{20};

// Guards against a call on a connection that went silent together with one on
// which a call has timed out.
TEST(ConnectionLiveness, PresumesConnectionsDeadThatShowNoLifeSince) {
  connection_liveness server;
  EXPECT_TRUE(server.IsAlive(kStart));
  server.RecordSilence(kStart + seconds(2), kStart + seconds(2) + kLongWait);
  EXPECT_FALSE(server.IsAlive(kStart));
  EXPECT_FALSE(server.IsAlive(kStart + seconds(2) - microseconds(1)));
}

// Guards against new connections for calls that a server answers late.
TEST(ConnectionLiveness, KeepsConnectionsWithLaterLife) {
  connection_liveness server;
  server.RecordSilence(kStart, kStart + kLongWait);
  EXPECT_TRUE(server.IsAlive(kStart + microseconds(1)));
}

// Guards against new connections for each call that a busy worker answers after
// its short time limit.
TEST(ConnectionLiveness, KeepsConnectionsAfterOneShortWait) {
  connection_liveness server;
  server.RecordSilence(kStart, kStart + kShortWait);
  EXPECT_TRUE(server.IsAlive(kStart - seconds(1)));
  server.RecordLife();
  server.RecordSilence(kStart + seconds(1), kStart + seconds(1) + kShortWait);
  EXPECT_TRUE(server.IsAlive(kStart - seconds(1)));
}

// Guards against one short time-out for each connection that has gone silent.
TEST(ConnectionLiveness, PresumesConnectionsDeadAfterTwoShortWaits) {
  connection_liveness server;
  server.RecordSilence(kStart, kStart + kShortWait);
  server.RecordSilence(kStart + milliseconds(40),
                       kStart + milliseconds(40) + kShortWait);
  EXPECT_FALSE(server.IsAlive(kStart));
}

// Guards against an earlier call that times out last and makes connections
// count as alive again.
TEST(ConnectionLiveness, KeepsTheLatestSilence) {
  connection_liveness server;
  server.RecordSilence(kStart + seconds(2), kStart + seconds(2) + kLongWait);
  server.RecordSilence(kStart, kStart + seconds(3));
  EXPECT_FALSE(server.IsAlive(kStart + seconds(1)));
}

}  // namespace
}  // namespace egretrack::net
