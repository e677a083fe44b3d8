#include "entry/config_publication.h"

#include <utility>

namespace egretrack::entry {
namespace {

// A write whose response was lost may take effect later, so that one read does
// not show the outcome.
constexpr int kMaxReads = 10;
constexpr milliseconds kReadRetryDelay{200};

constexpr unsigned kOk = 200;

}  // namespace

config_publication::config_publication(traffic_thread& thread,
                                       store::table_client& table,
                                       config_publisher::on_published callback,
                                       publication_request request,
                                       net::http_exchange_ptr exchange)
    : thread_(thread),
      table_(table),
      on_published_(std::move(callback)),
      request_(std::move(request)),
      exchange_(std::move(exchange)),
      reads_left_(kMaxReads) {}

void config_publication::Start() {
  objects::check_outcome checked = objects::CheckDocument(request_.document);
  if (!checked.faults.empty()) {
    return Respond(HttpStatus(request_errc::kInvalidConfiguration),
                   EncodeFaults(checked.faults));
  }
  objects_ = std::move(checked.objects);
  ReadVersion();
}

void config_publication::Read(std::string_view table,
                              std::string_view key,
                              row_handler next) {
  table_.Read(table, key, [self = shared_from_this(), next](row_result found) {
    self->thread_.Post(
        [self, next, found = std::move(found)] { ((*self).*next)(found); });
  });
}

void config_publication::ReadVersion() {
  Read(kConfigTable, kVersionKey, &config_publication::OnVersionRow);
}

void config_publication::OnVersionRow(const row_result& found) {
  if (!found)
    return RetryRead();
  config_record current;
  std::uint64_t etag = 0;
  if (*found) {
    auto record = DecodeRecord((*found)->value);
    if (!record)
      return Respond(request_errc::kTableUnavailable,
                     "the version row cannot be decoded");
    current = std::move(*record);
    etag = (*found)->etag;
  }
  current_version_ = current.version;
  if (current.version > request_.base_version) {
    return Read(kHistoryTable, HistoryKey(request_.base_version + 1),
                &config_publication::OnSuccessorRow);
  }
  if (current.version < request_.base_version)
    return ReportConflict(current.version);
  if (write_outcome_unknown_)
    return RetryRead();
  Write(etag);
}

void config_publication::OnSuccessorRow(const row_result& found) {
  if (!found)
    return RetryRead();
  if (*found) {
    const auto record = DecodeRecord((*found)->value);
    if (record && record->publication_id == request_.publication_id &&
        record->document == request_.document)
      return ReportPublished();
  }
  ReportConflict(current_version_);
}

void config_publication::Write(std::uint64_t version_etag) {
  const std::uint64_t version = request_.base_version + 1;
  std::vector<store::row_write> writes;
  writes.push_back({std::string(kConfigTable), std::string(kVersionKey),
                    version_etag,
                    EncodeRecord({version, request_.publication_id, {}})});
  writes.push_back(
      {std::string(kHistoryTable), HistoryKey(version), 0,
       EncodeRecord({version, request_.publication_id, request_.document})});
  table_.Write(
      std::move(writes), [self = shared_from_this()](result<void> written) {
        self->thread_.Post(
            [self, written = std::move(written)] { self->OnWritten(written); });
      });
}

void config_publication::OnWritten(const result<void>& written) {
  if (written)
    return ReportPublished();
  const std::error_code code = written.error().code;
  if (code == errc::kConflict || code == errc::kOutcomeUnknown) {
    write_outcome_unknown_ = code == errc::kOutcomeUnknown;
    return RetryRead();
  }
  Respond(request_errc::kTableUnavailable, "nothing was published");
}

void config_publication::RetryRead() {
  if (--reads_left_ > 0) {
    return thread_.PostAfter(
        kReadRetryDelay, [self = shared_from_this()] { self->ReadVersion(); });
  }
  if (write_outcome_unknown_)
    return Respond(request_errc::kPublicationUnknown,
                   "publish again with the same base and publication");
  Respond(request_errc::kTableUnavailable, "nothing was published");
}

void config_publication::ReportConflict(std::uint64_t version) {
  current_version_ = version;
  if (version == 0)
    return Respond(HttpStatus(request_errc::kConflict), EncodeConflict(0, {}));
  Read(kHistoryTable, HistoryKey(version),
       &config_publication::OnCurrentDocumentRow);
}

// Reports the conflict even if the current document cannot be read; the list of
// changes is empty then.
void config_publication::OnCurrentDocumentRow(const row_result& found) {
  std::vector<objects::object_change> changes;
  if (found && *found) {
    if (const auto record = DecodeRecord((*found)->value)) {
      const auto current = objects::CheckDocument(record->document);
      changes = objects::Diff(current.objects, objects_);
    }
  }
  Respond(HttpStatus(request_errc::kConflict),
          EncodeConflict(current_version_, changes));
}

void config_publication::ReportPublished() {
  const std::uint64_t version = request_.base_version + 1;
  on_published_(version, request_.document);
  Respond(kOk, EncodeRecord({version, request_.publication_id, {}}));
}

void config_publication::Respond(unsigned status, std::string body) {
  exchange_->Respond(
      {status, {{"Content-Type", "application/json"}}, std::move(body)});
}

void config_publication::Respond(request_errc code, std::string_view message) {
  exchange_->Respond(MakeErrorResponse(code, message));
}

}  // namespace egretrack::entry
