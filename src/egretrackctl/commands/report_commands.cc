#include <array>
#include <fstream>
#include <ostream>

#include <CLI/CLI.hpp>

#include "egretrack/telemetry/burn.h"
#include "egretrackctl/commands/command.h"

namespace egretrack::ctl {
namespace {

class burn_command final : public command {
 public:
  void AddOptions(CLI::App& app) override {
    app.add_option("--svg", svg_path_, "Write a chart to this file");
  }

  exit_code Run(const session& session) override {
    const entry_reply reply =
        session.SendToAny(MakeRequest("GET", "/v1/report/burn"));
    if (!reply.response)
      return session.ReportNoResponse(reply, true);
    if (ExitCodeForReply(reply) != exit_code::kOk)
      return session.ReportError(reply);
    const auto report = telemetry::ParseBurnReport(reply.response->body);
    if (!report) {
      session.err() << report.error().ToString() << '\n';
      return exit_code::kFailed;
    }
    if (session.options().json)
      session.out() << reply.response->body << '\n';
    else
      session.out() << telemetry::ToText(*report);
    return svg_path_.empty() ? exit_code::kOk : WriteSvg(session, *report);
  }

 private:
  exit_code WriteSvg(const session& session,
                     const telemetry::burn_report& report) const {
    std::ofstream file(svg_path_, std::ios::binary);
    file << telemetry::ToSvg(report);
    file.close();
    if (file.good())
      return exit_code::kOk;
    return session.ReportInvalidInput("--svg: '" + svg_path_ +
                                      "' cannot be written");
  }

  std::string svg_path_;
};

constexpr std::array<command_definition, 1> kCommands{{
    {"report burn", "Show how fast each desk uses up its error budget",
     &Create<burn_command>},
}};

}  // namespace

std::span<const command_definition> ReportCommands() {
  return kCommands;
}

}  // namespace egretrack::ctl
