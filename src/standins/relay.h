#ifndef EGRETRACK_STANDINS_RELAY_H_
#define EGRETRACK_STANDINS_RELAY_H_

#include <cstdint>
#include <memory>

#include "egretrack/base/time.h"

namespace egretrack::standins {

// A TCP relay on the loopback interface that can inject faults into its
// connections. Its port stays the same when the target program is replaced.
// Thread-safe; each call takes effect before it returns.
class relay {
 public:
  virtual ~relay() = default;
  virtual std::uint16_t port() const = 0;
  // Sets the loopback port to which new connections are forwarded; 0 closes new
  // connections immediately.
  virtual void SetTarget(std::uint16_t port) = 0;
  virtual void CloseConnections() = 0;
  // Like CloseConnections(), but both sides get a reset.
  virtual void ResetConnections() = 0;
  // While enabled, nothing listens on the port, so that new connections are
  // refused.
  virtual void RefuseConnections(bool enabled) = 0;
  // Permanently discards all further bytes of the existing connections, without
  // closing them. When one side closes, the other side is not notified.
  virtual void BlackholeConnections() = 0;
  // While enabled, new connections are accepted but all of their bytes are
  // discarded.
  virtual void BlackholeNewConnections(bool enabled) = 0;
  // Delays all bytes by this time and keeps their order.
  virtual void SetDelay(milliseconds delay) = 0;
  // While enabled, nothing passes on the existing connections. When it is
  // disabled, what was sent meanwhile is delivered, and the end of a connection
  // `end_delay` behind it, as TCP does it after a cut.
  virtual void Hold(bool enabled, milliseconds end_delay) = 0;
  // Forwards every chunk twice. If the sender writes one message at a time, the
  // receiver gets each message twice. Use it after the handshake and with
  // little traffic, so that a chunk holds exactly one message.
  virtual void SetDuplicate(bool enabled) = 0;
  // Returns the number of connections that forward bytes.
  virtual std::size_t connection_count() const = 0;
};

// Runs all relays on one traffic thread.
class relay_hub {
 public:
  static std::unique_ptr<relay_hub> Create();
  virtual ~relay_hub() = default;
  // The relay must be destroyed before the hub.
  virtual std::unique_ptr<relay> Open() = 0;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_RELAY_H_
