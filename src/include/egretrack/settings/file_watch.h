#ifndef EGRETRACK_SETTINGS_FILE_WATCH_H_
#define EGRETRACK_SETTINGS_FILE_WATCH_H_

#include <string>

namespace egretrack::settings {

// Notices that the text of a file has changed since the last call.
class file_watch {
 public:
  // Takes the present text as known.
  explicit file_watch(std::string path);

  // True when the text differs from the one known, which it replaces. A file
  // that can't be read has not changed: it may be about to be replaced.
  bool CheckForChange();

 private:
  std::string path_;
  std::string known_;
};

}  // namespace egretrack::settings

#endif  // EGRETRACK_SETTINGS_FILE_WATCH_H_
