#ifndef EGRETRACK_STANDINS_TABLE_SERVICE_H_
#define EGRETRACK_STANDINS_TABLE_SERVICE_H_

#include <memory>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/net/http.h"

namespace egretrack::standins {

// Injected faults, set by SetFaults() or POST /control.
struct table_faults {
  // Closes connections without a response.
  bool down = false;
  // Delay of each response.
  milliseconds slow{0};
  // Applies a write, then closes the connection without a response.
  bool lose_answers = false;
};

// Stand-in for the platform's table service, with its own threads.
class table_service {
 public:
  static result<std::unique_ptr<table_service>> Listen(
      const net::tcp_address& address);
  virtual ~table_service() = default;
  virtual net::tcp_address local_address() const = 0;
  virtual void SetFaults(const table_faults& faults) = 0;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_TABLE_SERVICE_H_
