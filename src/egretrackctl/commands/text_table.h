#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TEXT_TABLE_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TEXT_TABLE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace egretrack::ctl {

// Formats rows as aligned columns for a terminal. Escapes control characters in
// cells, as cells may contain the result of a task.
class text_table {
 public:
  explicit text_table(std::vector<std::string> titles);

  // Expects one cell per title; missing cells are empty.
  void AddRow(std::vector<std::string> cells);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;  // First row: titles.
};

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TEXT_TABLE_H_
