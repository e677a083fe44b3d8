#ifndef EGRETRACK_STANDINS_RELAY_H_
#define EGRETRACK_STANDINS_RELAY_H_

#include <cstdint>
#include <memory>

#include "egretrack/base/time.h"

namespace egretrack::standins {

// A TCP relay on loopback that can disturb the connections through it. Its
// port stays the same when the program behind it is replaced. Safe from any
// thread; orders take effect before the call returns.
class relay {
 public:
  virtual ~relay() = default;
  virtual std::uint16_t port() const = 0;
  // New connections go to this port of the loopback; 0 closes them at once.
  virtual void SetTarget(std::uint16_t port) = 0;
  // Closes all connections.
  virtual void CloseConnections() = 0;
  // Swallows what existing connections send from now on, for good; neither
  // side learns of it, nor of the other side closing.
  virtual void BlackholeConnections() = 0;
  // While blocked, new connections are accepted and silent.
  virtual void BlackholeNewConnections(bool blocked) = 0;
  // Holds back all bytes by this time, in order.
  virtual void SetDelay(milliseconds delay) = 0;
  // Passes every chunk on twice. A peer that writes one message at a time sees
  // each of them repeated; use it after the handshake, with little traffic.
  virtual void SetDuplicate(bool duplicate) = 0;
  // Connections that pass bytes on.
  virtual std::size_t connection_count() const = 0;
};

// Runs the relays on one traffic thread.
class relay_hub {
 public:
  static std::unique_ptr<relay_hub> Create();
  virtual ~relay_hub() = default;
  // The relay must go before the hub.
  virtual std::unique_ptr<relay> Open() = 0;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_RELAY_H_
