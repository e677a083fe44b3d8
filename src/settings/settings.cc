#include "egretrack/settings/settings.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "egretrack/base/file.h"
#include "settings/keys.h"

namespace egretrack::settings {
namespace {

using keys::fault_list;
using keys::key_errc;

class settings_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "egretrack.settings"; }

  std::string message(int value) const override {
    switch (static_cast<settings_errc>(value)) {
      case settings_errc::kSyntax:
        return "not valid TOML";
      case settings_errc::kUnreadable:
        return "file cannot be read";
      case settings_errc::kUnknownKey:
        return "unknown key";
      case settings_errc::kMissingKey:
        return "missing key";
      case settings_errc::kWrongType:
        return "wrong type";
      case settings_errc::kOutOfRange:
        return "out of range";
      case settings_errc::kInvalidName:
        return "invalid name";
      case settings_errc::kInvalidAddress:
        return "invalid address";
      case settings_errc::kDuplicate:
        return "duplicate value";
    }
    return "unknown error";
  }
};

// Indexed by key_errc.
constexpr std::array kErrorCodes{
    settings_errc::kUnknownKey,  settings_errc::kMissingKey,
    settings_errc::kWrongType,   settings_errc::kOutOfRange,
    settings_errc::kInvalidName, settings_errc::kInvalidAddress,
    settings_errc::kDuplicate,
};

void AddDuplicateFault(std::string_view key,
                       const std::string& reason,
                       fault_list& faults) {
  faults.push_back({key_errc::kDuplicate, std::string(key), reason});
}

void CheckEntry(const entry_settings& entry, fault_list& faults) {
  std::set<std::string> ids{entry.id};
  std::set<std::string> addresses;
  for (const peer& other : entry.peers) {
    if (!other.id.empty() && !ids.insert(other.id).second)
      AddDuplicateFault("entry.peers", "id '" + other.id + "' is used twice",
                        faults);
    if (!other.http.empty() && !addresses.insert(other.http).second) {
      AddDuplicateFault("entry.peers",
                        "address '" + other.http + "' is used twice", faults);
    }
  }
  if (!entry.http.empty() && entry.http == entry.agents &&
      !entry.http.ends_with(":0")) {
    AddDuplicateFault("entry.agents", "same address as entry.http", faults);
  }
  if (entry.retention < entry.start_by) {
    faults.push_back({key_errc::kOutOfRange, "entry.retention_s",
                      "shorter than entry.start_by_ms"});
  }
}

void CheckAgent(const agent_settings& agent, fault_list& faults) {
  if (agent.reconnect_after <= agent.heartbeat_interval) {
    faults.push_back({key_errc::kOutOfRange, "agent.reconnect_after_ms",
                      "not longer than agent.heartbeat_interval_ms"});
  }
  if (agent.credit_lease <= agent.heartbeat_interval) {
    faults.push_back({key_errc::kOutOfRange, "agent.credit_lease_ms",
                      "not longer than agent.heartbeat_interval_ms"});
  }
  if (agent.slots > agent.connections) {
    faults.push_back({key_errc::kOutOfRange, "agent.connections",
                      "fewer connections than agent.slots"});
  }
}

daemon_settings ReadEntry(const toml::table& table, fault_list& faults) {
  entry_settings entry;
  keys::ReadTable(table, EntryKeys(), "entry", entry, faults);
  CheckEntry(entry, faults);
  return entry;
}

daemon_settings ReadAgent(const toml::table& table, fault_list& faults) {
  agent_settings agent;
  keys::ReadTable(table, AgentKeys(), "agent", agent, faults);
  const auto* entries = table["entries"].as_array();
  if (entries != nullptr && entries->empty()) {
    faults.push_back({key_errc::kOutOfRange, "agent.entries",
                      "at least one address is required"});
  }
  CheckAgent(agent, faults);
  return agent;
}

daemon_settings ReadJobEntry(const toml::table& table, fault_list& faults) {
  job_entry_settings entry;
  keys::ReadTable(table, JobEntryKeys(), "job_entry", entry, faults);
  if (entry.drain_bound < entry.drain_grace) {
    faults.push_back({key_errc::kOutOfRange, "job_entry.drain_bound_ms",
                      "shorter than job_entry.drain_grace_ms"});
  }
  if (entry.drain_end < entry.drain_bound) {
    faults.push_back({key_errc::kOutOfRange, "job_entry.drain_end_ms",
                      "shorter than job_entry.drain_bound_ms"});
  }
  return entry;
}

daemon_settings ReadJobAgent(const toml::table& table, fault_list& faults) {
  job_agent_settings agent;
  keys::ReadTable(table, JobAgentKeys(), "job_agent", agent, faults);
  if (agent.lease <= agent.renew_interval) {
    faults.push_back({key_errc::kOutOfRange, "job_agent.lease_ms",
                      "not longer than job_agent.renew_interval_ms"});
  }
  return agent;
}

struct role_reader {
  std::string_view role;  // Also the name of the role's table.
  daemon_settings (*read)(const toml::table& table, fault_list& faults);
};
constexpr std::array kRoles{
    role_reader{"entry", &ReadEntry},
    role_reader{"agent", &ReadAgent},
    role_reader{"job_entry", &ReadJobEntry},
    role_reader{"job_agent", &ReadJobAgent},
};

// Returns the reader of the document's role. If the role is missing or invalid,
// adds a fault and returns nullptr.
const role_reader* FindRole(const toml::table& document, fault_list& faults) {
  const toml::node* node = document.get("role");
  if (node == nullptr) {
    faults.push_back(
        {key_errc::kMissingKey, "role", "required key is missing"});
    return nullptr;
  }
  std::string role;
  keys::ReadValue(*node, "role", keys::kAnyString, role, faults);
  if (!node->is_string())
    return nullptr;
  const auto found =
      std::find_if(kRoles.begin(), kRoles.end(),
                   [&](const role_reader& r) { return r.role == role; });
  if (found != kRoles.end())
    return found;
  faults.push_back({key_errc::kOutOfRange, "role",
                    "'" + role +
                        "' is not \"entry\", \"agent\", \"job_entry\" or "
                        "\"job_agent\""});
  return nullptr;
}

// Without a valid role, the tables of all roles are allowed, so that an invalid
// role does not also make its table an unknown key.
bool IsTopLevelKey(std::string_view name, const role_reader* role) {
  if (name == "role")
    return true;
  if (role != nullptr)
    return name == role->role;
  return std::any_of(kRoles.begin(), kRoles.end(),
                     [&](const role_reader& r) { return r.role == name; });
}

void CheckTopLevelKeys(const toml::table& document,
                       const role_reader* role,
                       fault_list& faults) {
  for (const auto& [name, node] : document) {
    if (!IsTopLevelKey(name.str(), role))
      faults.push_back(
          {key_errc::kUnknownKey, std::string(name.str()), "no such key"});
  }
}

// Reads the table of a role if the document has it. A missing table is a fault
// only if its role is the selected one.
void ReadRoleTable(const toml::table& document,
                   const role_reader& role,
                   bool selected,
                   daemon_settings& settings,
                   fault_list& faults) {
  const toml::node* node = document.get(role.role);
  if (node == nullptr) {
    if (selected) {
      faults.push_back({key_errc::kMissingKey, std::string(role.role),
                        "required table is missing"});
    }
    return;
  }
  const toml::table* table = keys::ExpectTable(*node, role.role, faults);
  if (table != nullptr)
    settings = role.read(*table, faults);
}

}  // namespace

std::error_code make_error_code(settings_errc code) {
  static const settings_category kCategory;
  return {static_cast<int>(code), kCategory};
}

std::string settings_fault::ToString() const {
  std::string text = file;
  if (!key.empty())
    text += ": " + key;
  return text + ": " + reason;
}

settings_outcome ParseSettings(std::string_view document,
                               std::string_view file) {
  settings_outcome outcome;
  const auto add_fault = [&](std::error_code code, std::string key,
                             std::string reason) {
    outcome.faults.push_back(
        {code, std::string(file), std::move(key), std::move(reason)});
  };
  const keys::parsed_document parsed = keys::ParseDocument(document);
  if (!parsed.table) {
    add_fault(settings_errc::kSyntax, "", parsed.reason);
    return outcome;
  }
  fault_list faults;
  const role_reader* role = FindRole(*parsed.table, faults);
  CheckTopLevelKeys(*parsed.table, role, faults);
  for (const role_reader& candidate : kRoles) {
    if (role == nullptr || role == &candidate) {
      ReadRoleTable(*parsed.table, candidate, role != nullptr, outcome.settings,
                    faults);
    }
  }
  for (auto& fault : faults) {
    add_fault(kErrorCodes[static_cast<std::size_t>(fault.code)],
              std::move(fault.key), std::move(fault.reason));
  }
  return outcome;
}

settings_outcome LoadSettings(std::string_view path) {
  const auto document = ReadFile(path);
  if (!document) {
    settings_outcome outcome;
    outcome.faults.push_back({settings_errc::kUnreadable, std::string(path), "",
                              "the file cannot be read"});
    return outcome;
  }
  return ParseSettings(*document, path);
}

}  // namespace egretrack::settings
