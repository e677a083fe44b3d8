#include "egretrack/base/file.h"

#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace egretrack {
namespace {

error FileError(std::string_view path, const std::error_code& cause) {
  return MakeError(errc::kSystem, std::string(path) + ": " + cause.message());
}

}  // namespace

result<std::string> ReadFile(std::string_view path) {
  std::ifstream input(std::string(path), std::ios::binary);
  if (!input.is_open())
    return MakeError(errc::kNotFound, path);
  std::string text;
  std::array<char, 4096> block{};
  while (input.good()) {
    input.read(block.data(), block.size());
    text.append(block.data(), static_cast<std::size_t>(input.gcount()));
  }
  if (input.bad())
    return MakeError(errc::kSystem, path);
  return text;
}

result<void> ReplaceFile(std::string_view path, std::string_view text) {
  const std::string temporary = std::string(path) + ".tmp";
  // The stream does not report the cause of a failure; errno may hold it.
  errno = 0;
  std::ofstream output(temporary, std::ios::binary | std::ios::trunc);
  output << text;
  output.close();
  if (!output.good())
    return FileError(path, {errno, std::generic_category()});
  std::error_code failure;
  std::filesystem::rename(temporary, std::string(path), failure);
  if (failure)
    return FileError(path, failure);
  return {};
}

}  // namespace egretrack
