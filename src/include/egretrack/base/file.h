#ifndef EGRETRACK_BASE_FILE_H_
#define EGRETRACK_BASE_FILE_H_

#include <string>
#include <string_view>

#include "egretrack/base/result.h"

namespace egretrack {

// Reads a whole file. Errors: errc::kNotFound when it cannot be opened,
// errc::kSystem when it cannot be read, as with a folder.
result<std::string> ReadFile(std::string_view path);

// Writes a temporary file beside `path` and renames it, so that a reader sees
// the whole text or none. Errors: errc::kSystem.
result<void> ReplaceFile(std::string_view path, std::string_view text);

}  // namespace egretrack

#endif  // EGRETRACK_BASE_FILE_H_
