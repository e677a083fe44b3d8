#ifndef EGRETRACK_SETTINGS_FILE_WATCH_H_
#define EGRETRACK_SETTINGS_FILE_WATCH_H_

#include <string>

namespace egretrack::settings {

// Detects changes of a file's contents by polling.
class file_watch {
 public:
  // Reads the current text, to which the first check compares.
  explicit file_watch(std::string path);

  // Returns true if the text differs from the last text read, and remembers the
  // new one. A file that can't be read counts as unchanged, because it may be
  // in the middle of being replaced.
  bool CheckForChange();

 private:
  std::string path_;
  std::string last_text_;
};

}  // namespace egretrack::settings

#endif  // EGRETRACK_SETTINGS_FILE_WATCH_H_
