#include <iostream>
#include <vector>

#include "egretrackctl/commands/command_line.h"
#include "egretrackctl/commands/transport.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto transport = egretrack::ctl::MakeHttpTransport();
  const auto code = egretrack::ctl::RunCommandLine(arguments, *transport,
                                                   std::cout, std::cerr);
  return static_cast<int>(code);
}
