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
  bool entries_given = false;  // False if `entries` is the default.
  bool json = false;
  milliseconds timeout{5000};     // Of one attempt.
  milliseconds retry_delay{200};  // Before the second round.
};

// Result of a request after all attempts.
struct entry_reply {
  std::optional<net::http_response> response;
  // True if an attempt without a response may have reached an entry.
  bool may_have_taken_effect = false;
  error last_error;  // Of the last attempt if there is no response.
};

// Maps a reply that has a response to an exit code. If an earlier attempt may
// have taken effect, a refusal yields kRefused only if its body contains
// "not_run": true, and kOutcomeUnknown otherwise.
exit_code ExitCodeForReply(const entry_reply& reply);

// Sends the requests of a command to the entries and prints errors. Requests
// are retried, so each request must be idempotent, for example because it only
// reads or carries the id of a job or of a publication.
class session {
 public:
  session(const global_options& options,
          transport& transport,
          std::ostream& out,
          std::ostream& err)
      : options_(options), transport_(transport), out_(out), err_(err) {}

  const global_options& options() const { return options_; }
  std::ostream& out() const { return out_; }
  std::ostream& err() const { return err_; }

  // Tries the entries in turn until one responds, in at most two rounds.
  // `extra_timeout` is added to the timeout of each attempt.
  entry_reply SendToAny(const net::http_request& request,
                        milliseconds extra_timeout = milliseconds(0)) const;
  // Tries only `entry`, at most twice.
  entry_reply SendTo(const net::tcp_address& entry,
                     const net::http_request& request) const;

  // Prints why there is no response. Returns kOutcomeUnknown if the request may
  // have taken effect, which a `read_only` request cannot have.
  exit_code ReportNoResponse(const entry_reply& reply, bool read_only) const;
  // Prints an error response: its message and its faults.
  exit_code ReportError(const entry_reply& reply) const;
  // Prints an error that was detected locally, such as an unreadable file.
  exit_code ReportInvalidInput(std::string_view message) const;

 private:
  entry_reply SendInTurn(std::span<const net::tcp_address> entries,
                         const net::http_request& request,
                         milliseconds timeout) const;

  const global_options& options_;
  transport& transport_;
  std::ostream& out_;
  std::ostream& err_;
};

net::http_request MakeRequest(std::string_view method,
                              std::string target,
                              std::string body = {});

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_SESSION_H_
