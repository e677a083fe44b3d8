#ifndef EGRETRACK_BASE_IDS_H_
#define EGRETRACK_BASE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "egretrack/base/result.h"

namespace egretrack {

// Random number that a process draws at its start. Tells apart the processes
// that run under one name.
enum class incarnation : std::uint64_t {};

// Counts the connections that an agent opened to one entry, from 1.
enum class connection_number : std::uint64_t {};

// Counts the dispatches of one task by its home entry, from 1.
enum class dispatch_number : std::uint32_t {};

// Position of a task within its job, from 0.
using task_index = std::uint32_t;

// Both draw from the random source of the operating system.
incarnation NewIncarnation();
std::uint64_t RandomNumber();

// Identifies a job and its home, the entry and incarnation that made the id.
struct job_id {
  std::string entry;
  incarnation home{};
  std::uint64_t created_ms = 0;  // Since the incarnation started; 48 bits.
  std::uint64_t random = 0;

  // "<entry>.<incarnation>.<created>.<random>", the numbers in 16, 12 and 16
  // hexadecimal digits.
  std::string ToString() const;
  static result<job_id> Parse(std::string_view text);

  auto operator<=>(const job_id&) const = default;
};

// True for 1 to 64 characters out of a-z, 0-9 and '-'.
bool IsValidName(std::string_view name);

}  // namespace egretrack

template <>
struct std::hash<egretrack::job_id> {
  std::size_t operator()(const egretrack::job_id& id) const noexcept;
};

#endif  // EGRETRACK_BASE_IDS_H_
