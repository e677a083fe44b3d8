#include <cstdio>
#include <exception>
#include <map>
#include <string>

#include "cases.h"

namespace {

using case_function = review::verdict (*)(review::deployment&,
                                          review::record&,
                                          bool);

const std::map<std::string, case_function> kCases = {
    {"held-request", &review::HeldRequest},
    {"false-refusal", &review::FalseRefusal},
    {"cancel-after-route-removed", &review::CancelAfterRouteRemoved},
    {"start-without-label", &review::StartWithoutLabel},
};

}  // namespace

// Usage: review_case NAME RECORD FOLDER TROUBLE, where TROUBLE 0 leaves the
// disruption out. Run in the repository's root. Exits with 1 if the rule was
// broken, 0 if it held, 2 if the case could not run.
int main(int argc, char** argv) {
  const auto found = argc == 5 ? kCases.find(argv[1]) : kCases.end();
  if (found == kCases.end()) {
    std::fprintf(stderr, "usage: review_case NAME RECORD FOLDER TROUBLE\n");
    return 2;
  }
  const bool disrupted = std::string(argv[4]) != "0";
  review::record log(argv[2]);
  try {
    review::deployment system(argv[3], log);
    const auto verdict = found->second(system, log, disrupted);
    if (!system.AllRunning())
      log.Write("a process of the project has ended by itself");
    log.Write("exit " + std::to_string(static_cast<int>(verdict)));
    return static_cast<int>(verdict);
  } catch (const std::exception& failure) {
    log.Write(std::string("the case cannot run: ") + failure.what());
    return 2;
  }
}
