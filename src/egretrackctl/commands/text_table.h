#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TEXT_TABLE_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TEXT_TABLE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace egretrack::ctl {

// Aligned columns for a terminal. Control characters in cells, which could
// come from a task's result, are escaped.
class text_table {
 public:
  explicit text_table(std::vector<std::string> titles);

  // Takes one cell per title.
  void AddRow(std::vector<std::string> cells);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;  // The first holds the titles.
};

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TEXT_TABLE_H_
