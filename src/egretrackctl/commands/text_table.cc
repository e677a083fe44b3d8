#include "egretrackctl/commands/text_table.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ostream>
#include <string_view>
#include <utility>

namespace egretrack::ctl {
namespace {

constexpr std::string_view kColumnSeparator = "  ";
constexpr unsigned char kDeleteCharacter = 0x7f;

std::string EscapeControlCharacters(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= ' ' && byte != kDeleteCharacter) {
      escaped += c;
      continue;
    }
    std::array<char, 8> code{};
    std::snprintf(code.data(), code.size(), "\\x%02x", byte);
    escaped += code.data();
  }
  return escaped;
}

// Returns the number of code points in UTF-8 text.
std::size_t CodePointCount(std::string_view text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xc0U) != 0x80U; }));
}

}  // namespace

text_table::text_table(std::vector<std::string> titles) {
  rows_.push_back(std::move(titles));
}

void text_table::AddRow(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  for (std::string& cell : cells)
    cell = EscapeControlCharacters(cell);
  rows_.push_back(std::move(cells));
}

void text_table::Print(std::ostream& out) const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], CodePointCount(row[i]));
  }
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - CodePointCount(row[i]), ' ')
          .append(kColumnSeparator);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

}  // namespace egretrack::ctl
