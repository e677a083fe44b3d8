#include "scheduler/worker_revision.h"

namespace egretrack::scheduler {
namespace {

bool IsEqualChoice(const worker_report& a, const worker_report& b) {
  return a.id == b.id && a.worker_incarnation == b.worker_incarnation &&
         a.desk == b.desk && a.labels == b.labels && a.capacity == b.capacity;
}

}  // namespace

bool worker_revision::Describe(const worker_report& report) {
  if (described_ && IsEqualChoice(*described_, report))
    return false;
  described_ = report;
  ++number_;
  return true;
}

}  // namespace egretrack::scheduler
