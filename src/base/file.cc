#include "egretrack/base/file.h"

#include <array>
#include <filesystem>
#include <fstream>

namespace egretrack {

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
  std::ofstream output(temporary, std::ios::binary | std::ios::trunc);
  output << text;
  output.close();
  if (!output.good())
    return MakeError(errc::kSystem, temporary);
  std::error_code failure;
  std::filesystem::rename(temporary, std::string(path), failure);
  if (failure)
    return MakeError(errc::kSystem, path);
  return {};
}

}  // namespace egretrack
