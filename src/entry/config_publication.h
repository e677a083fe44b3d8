#ifndef EGRETRACK_ENTRY_CONFIG_PUBLICATION_H_
#define EGRETRACK_ENTRY_CONFIG_PUBLICATION_H_

#include <memory>
#include <optional>

#include "egretrack/objects/check.h"
#include "entry/config_publisher.h"
#include "entry/config_record.h"
#include "entry/request_error.h"

namespace egretrack::entry {

// Publishes one document: writes the version row, on condition that it has not
// changed, and a history row in one transaction. If the response to the write
// is lost, reads the rows to find the outcome instead of writing again. The
// callback of the pending operation keeps the object alive. Runs on `thread`.
class config_publication
    : public std::enable_shared_from_this<config_publication> {
 public:
  config_publication(traffic_thread& thread,
                     store::table_client& table,
                     config_publisher::on_published callback,
                     publication_request request,
                     net::http_exchange_ptr exchange);

  void Start();

 private:
  using row_result = result<std::optional<store::row>>;
  using row_handler = void (config_publication::*)(const row_result& found);

  void Read(std::string_view table, std::string_view key, row_handler next);
  void ReadVersion();
  void OnVersionRow(const row_result& found);
  // Compares the publication that followed the base version with this request.
  void OnSuccessorRow(const row_result& found);
  void Write(std::uint64_t version_etag);
  void OnWritten(const result<void>& written);
  void RetryRead();
  void ReportConflict(std::uint64_t version);
  void OnCurrentDocumentRow(const row_result& found);
  void ReportPublished();
  void Respond(unsigned status, std::string body);
  void Respond(request_errc code, std::string_view message);

  traffic_thread& thread_;
  store::table_client& table_;
  const config_publisher::on_published on_published_;
  const publication_request request_;
  const net::http_exchange_ptr exchange_;
  objects::object_set objects_;
  std::uint64_t current_version_ = 0;
  bool write_outcome_unknown_ = false;  // The response to the write was lost.
  int reads_left_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CONFIG_PUBLICATION_H_
