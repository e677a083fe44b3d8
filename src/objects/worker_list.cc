#include "egretrack/objects/worker_list.h"

#include <utility>

#include "objects/key_faults.h"
#include "objects/sections.h"

namespace egretrack::objects {
namespace {

void ReadWorker(std::string_view name,
                const toml::node& node,
                worker_list_outcome& outcome) {
  const auto section = WorkerSection();
  worker object;
  object.name = std::string(name);
  keys::fault_list faults;
  const toml::table* table = keys::ExpectTable(node, "", faults);
  if (table != nullptr)
    keys::ReadTable(*table, section.rules, "", object, faults);
  AddKeyFaults(std::move(faults), section.QualifiedName(name), outcome.faults);
  outcome.workers.push_back(std::move(object));
}

}  // namespace

worker_list_outcome ReadWorkers(std::string_view document) {
  worker_list_outcome outcome;
  const keys::parsed_document parsed = keys::ParseDocument(document);
  if (!parsed.table) {
    outcome.faults.push_back({config_errc::kSyntax, "", "", parsed.reason});
    return outcome;
  }
  const std::string_view section_name = WorkerSection().name;
  for (const auto& [name, node] : *parsed.table) {
    if (name.str() != section_name) {
      outcome.faults.push_back({config_errc::kUnknownKey, "",
                                std::string(name.str()),
                                "not the table 'worker'"});
      continue;
    }
    keys::fault_list faults;
    const toml::table* table = keys::ExpectTable(node, "", faults);
    AddKeyFaults(std::move(faults), section_name, outcome.faults);
    if (table == nullptr)
      continue;
    for (const auto& [worker_name, worker_node] : *table)
      ReadWorker(worker_name.str(), worker_node, outcome);
  }
  if (outcome.workers.empty() && outcome.faults.empty()) {
    outcome.faults.push_back({config_errc::kMissingKey, "",
                              std::string(section_name),
                              "the document has no worker"});
  }
  return outcome;
}

}  // namespace egretrack::objects
