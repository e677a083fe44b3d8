#ifndef EGRETRACK_BASE_FILE_H_
#define EGRETRACK_BASE_FILE_H_

#include <string>
#include <string_view>

#include "egretrack/base/result.h"

namespace egretrack {

// Reads a whole file. Errors: errc::kNotFound when it cannot be opened,
// errc::kSystem when it cannot be read, for example because it is a directory.
result<std::string> ReadFile(std::string_view path);

// Replaces a file atomically: writes a temporary file in the same directory and
// renames it, so that readers never see part of the text. Errors:
// errc::kSystem.
result<void> ReplaceFile(std::string_view path, std::string_view text);

}  // namespace egretrack

#endif  // EGRETRACK_BASE_FILE_H_
