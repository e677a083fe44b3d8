#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_SESSION_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_SESSION_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/time.h"
#include "egretrackctl/commands/exit_code.h"
#include "egretrackctl/commands/transport.h"

namespace egretrack::ctl {

struct global_options {
  std::vector<net::tcp_address> entries;
  bool json = false;
  milliseconds timeout{5000};     // Of one attempt.
  milliseconds retry_pause{200};  // Before a further round over the entries.
};

// What became of a request after all attempts.
struct entry_reply {
  std::optional<net::http_response> response;
  // True when an attempt without an answer may have reached an entry.
  bool may_have_acted = false;
  error failure;  // Of the last attempt, when there is no response.
};

// What an answer means. After an earlier attempt that may have acted, only an
// answer that says so counts as "nothing ran".
exit_code CodeOf(const entry_reply& reply);

// The entries to talk to and where to print. Every request that a command
// makes may be repeated: it reads, or it carries the id of a job or of a
// publication.
class session {
 public:
  session(const global_options& options,
          transport& network,
          std::ostream& out,
          std::ostream& err)
      : options_(options), network_(network), out_(out), err_(err) {}

  const global_options& options() const { return options_; }
  std::ostream& out() const { return out_; }
  std::ostream& err() const { return err_; }

  // Asks the entries in turn until one answers, two rounds at most.
  entry_reply Ask(const net::http_request& request,
                  milliseconds extra_time = milliseconds(0)) const;
  // Asks one entry only.
  entry_reply AskOne(const net::tcp_address& entry,
                     const net::http_request& request) const;

  // Prints why there is no answer. A request that only reads has no unknown
  // outcome.
  exit_code ReportNoAnswer(const entry_reply& reply, bool reads_only) const;
  // Prints an answer that is an error: its message and its faults.
  exit_code ReportError(const entry_reply& reply) const;
  // Prints a failure that needed no entry.
  exit_code ReportInvalid(std::string_view message) const;

 private:
  entry_reply AskInTurn(std::span<const net::tcp_address> entries,
                        const net::http_request& request,
                        milliseconds timeout) const;

  const global_options& options_;
  transport& network_;
  std::ostream& out_;
  std::ostream& err_;
};

net::http_request MakeRequest(std::string_view method,
                              std::string target,
                              std::string body = {});

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_SESSION_H_
