#include "entry/config_publication.h"

#include <utility>

namespace egretrack::entry {
namespace {

// A write whose answer was lost may take effect a little later.
constexpr int kMaxReads = 10;
constexpr milliseconds kReadPause{200};

constexpr unsigned kOk = 200;

}  // namespace

config_publication::config_publication(traffic_thread& thread,
                                       store::table_client& table,
                                       config_publisher::on_published published,
                                       publication_request request,
                                       net::http_exchange_ptr exchange)
    : thread_(thread),
      table_(table),
      published_(std::move(published)),
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
                              step next) {
  table_.Read(table, key, [self = shared_from_this(), next](read_row found) {
    self->thread_.Post(
        [self, next, found = std::move(found)] { ((*self).*next)(found); });
  });
}

void config_publication::ReadVersion() {
  Read(kConfigTable, kVersionKey, &config_publication::OnVersion);
}

void config_publication::OnVersion(const read_row& found) {
  if (!found)
    return ReadAgain();
  config_record current;
  std::uint64_t etag = 0;
  if (*found) {
    auto record = DecodeRecord((*found)->value);
    if (!record)
      return Respond(request_errc::kTableUnavailable,
                     "the version row is not readable");
    current = std::move(*record);
    etag = (*found)->etag;
  }
  current_version_ = current.version;
  if (current.version > request_.base) {
    return Read(kHistoryTable, HistoryKey(request_.base + 1),
                &config_publication::OnSuccessor);
  }
  if (current.version < request_.base)
    return ReportConflict(current.version);
  if (written_)
    return ReadAgain();
  Write(etag);
}

void config_publication::OnSuccessor(const read_row& found) {
  if (!found)
    return ReadAgain();
  if (*found) {
    const auto record = DecodeRecord((*found)->value);
    if (record && record->publication == request_.publication &&
        record->document == request_.document)
      return ReportPublished();
  }
  ReportConflict(current_version_);
}

void config_publication::Write(std::uint64_t version_etag) {
  const std::uint64_t version = request_.base + 1;
  std::vector<store::row_write> writes;
  writes.push_back({std::string(kConfigTable), std::string(kVersionKey),
                    version_etag,
                    EncodeRecord({version, request_.publication, {}})});
  writes.push_back(
      {std::string(kHistoryTable), HistoryKey(version), 0,
       EncodeRecord({version, request_.publication, request_.document})});
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
    written_ = code == errc::kOutcomeUnknown;
    return ReadAgain();
  }
  Respond(request_errc::kTableUnavailable, "nothing was published");
}

void config_publication::ReadAgain() {
  if (--reads_left_ > 0) {
    return thread_.PostAfter(
        kReadPause, [self = shared_from_this()] { self->ReadVersion(); });
  }
  if (written_)
    return Respond(request_errc::kPublicationUnknown,
                   "publish again with the same base and publication");
  Respond(request_errc::kTableUnavailable, "nothing was published");
}

void config_publication::ReportConflict(std::uint64_t version) {
  current_version_ = version;
  if (version == 0)
    return Respond(HttpStatus(request_errc::kConflict), EncodeConflict(0, {}));
  Read(kHistoryTable, HistoryKey(version),
       &config_publication::OnCurrentDocument);
}

// The conflict is certain; only its diff depends on this read.
void config_publication::OnCurrentDocument(const read_row& found) {
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
  const std::uint64_t version = request_.base + 1;
  published_(version, request_.document);
  Respond(kOk, EncodeRecord({version, request_.publication, {}}));
}

void config_publication::Respond(unsigned status, std::string body) {
  exchange_->Respond(
      {status, {{"Content-Type", "application/json"}}, std::move(body)});
}

void config_publication::Respond(request_errc code, std::string_view message) {
  exchange_->Respond(MakeErrorResponse(code, message));
}

}  // namespace egretrack::entry
