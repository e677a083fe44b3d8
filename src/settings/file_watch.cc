#include "egretrack/settings/file_watch.h"

#include <utility>

#include "egretrack/base/file.h"

namespace egretrack::settings {

file_watch::file_watch(std::string path) : path_(std::move(path)) {
  CheckForChange();
}

// Compares the text instead of the time of the last change, which a clock that
// was set back may repeat. Settings are a few kilobytes.
bool file_watch::CheckForChange() {
  auto text = ReadFile(path_);
  if (!text || *text == known_)
    return false;
  known_ = std::move(*text);
  return true;
}

}  // namespace egretrack::settings
