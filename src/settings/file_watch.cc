#include "egretrack/settings/file_watch.h"

#include <utility>

#include "egretrack/base/file.h"

namespace egretrack::settings {

file_watch::file_watch(std::string path) : path_(std::move(path)) {
  CheckForChange();
}

// Compares the text because the modification time may repeat when the clock is
// set back. Settings files have only a few kilobytes.
bool file_watch::CheckForChange() {
  auto text = ReadFile(path_);
  if (!text || *text == last_text_)
    return false;
  last_text_ = std::move(*text);
  return true;
}

}  // namespace egretrack::settings
