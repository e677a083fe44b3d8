#ifndef EGRETRACK_ENTRY_CONFIG_PUBLICATION_H_
#define EGRETRACK_ENTRY_CONFIG_PUBLICATION_H_

#include <memory>
#include <optional>

#include "egretrack/objects/check.h"
#include "entry/config_publisher.h"
#include "entry/config_record.h"
#include "entry/request_error.h"

namespace egretrack::entry {

// One publication: a conditional write of the version row and a row of the
// history. A lost answer is resolved by reading, never by a second write. Kept
// alive by its pending operation; runs on the worker.
class config_publication
    : public std::enable_shared_from_this<config_publication> {
 public:
  config_publication(traffic_thread& thread,
                     store::table_client& table,
                     config_publisher::on_published published,
                     publication_request request,
                     net::http_exchange_ptr exchange);

  void Start();

 private:
  using read_row = result<std::optional<store::row>>;
  using step = void (config_publication::*)(const read_row& found);

  void Read(std::string_view table, std::string_view key, step next);
  void ReadVersion();
  void OnVersion(const read_row& found);
  // Compares the publication that followed the base with ours.
  void OnSuccessor(const read_row& found);
  void Write(std::uint64_t version_etag);
  void OnWritten(const result<void>& written);
  void ReadAgain();
  void ReportConflict(std::uint64_t version);
  void OnCurrentDocument(const read_row& found);
  void ReportPublished();
  void Respond(unsigned status, std::string body);
  void Respond(request_errc code, std::string_view message);

  traffic_thread& thread_;
  store::table_client& table_;
  const config_publisher::on_published published_;
  const publication_request request_;
  const net::http_exchange_ptr exchange_;
  objects::object_set objects_;
  std::uint64_t current_version_ = 0;
  bool written_ = false;  // Our write was sent and its answer lost.
  int reads_left_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CONFIG_PUBLICATION_H_
