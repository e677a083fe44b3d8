#ifndef EGRETRACK_BASE_FILE_H_
#define EGRETRACK_BASE_FILE_H_

#include <string>
#include <string_view>

#include "egretrack/base/result.h"

namespace egretrack {

// Reads a whole file. Errors: errc::kNotFound when it cannot be opened,
// errc::kSystem when it cannot be read, as with a folder.
result<std::string> ReadFile(std::string_view path);

}  // namespace egretrack

#endif  // EGRETRACK_BASE_FILE_H_
