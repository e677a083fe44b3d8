#ifndef EGRETRACK_STANDINS_TABLE_SERVICE_H_
#define EGRETRACK_STANDINS_TABLE_SERVICE_H_

#include <memory>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/net/http.h"

namespace egretrack::standins {

// Faults that POST /control sets.
struct table_faults {
  bool down = false;  // Connections are closed without a response.
  milliseconds slow{0};
  bool lose_answers = false;  // Writes take effect, then the connection closes.
};

// Stand-in of the platform's table service, on threads of its own.
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
