#include "net/connection_liveness.h"

#include <gtest/gtest.h>

namespace egretrack::net {
namespace {

constexpr monotonic_time kStart{seconds(100)};

// Guards against a call on a connection that went silent together with one on
// which a call has timed out.
TEST(ConnectionLiveness, PresumesConnectionsDeadThatShowNoLifeSince) {
  connection_liveness server;
  EXPECT_TRUE(server.IsAlive(kStart));
  server.RecordSilence(kStart + seconds(2));
  EXPECT_FALSE(server.IsAlive(kStart));
  EXPECT_FALSE(server.IsAlive(kStart + seconds(2) - microseconds(1)));
}

// Guards against new connections for calls that a server answers late.
TEST(ConnectionLiveness, KeepsConnectionsWithLaterLife) {
  connection_liveness server;
  server.RecordSilence(kStart);
  EXPECT_TRUE(server.IsAlive(kStart + microseconds(1)));
}

// Guards against an earlier call that times out last and makes connections
// count as alive again.
TEST(ConnectionLiveness, KeepsTheLatestSilence) {
  connection_liveness server;
  server.RecordSilence(kStart + seconds(2));
  server.RecordSilence(kStart);
  EXPECT_FALSE(server.IsAlive(kStart + seconds(1)));
}

}  // namespace
}  // namespace egretrack::net
