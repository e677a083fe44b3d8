#ifndef EGRETRACK_SRC_SETTINGS_KEYS_H_
#define EGRETRACK_SRC_SETTINGS_KEYS_H_

#include <span>

#include "egretrack/settings/settings.h"
#include "toml/key_table.h"

// Tables that describe every key of the settings. A test compares
// docs/settings.md with them.
namespace egretrack::settings {

std::span<const keys::key_rule<entry_settings>> EntryKeys();
std::span<const keys::key_rule<agent_settings>> AgentKeys();
std::span<const keys::key_rule<job_entry_settings>> JobEntryKeys();
std::span<const keys::key_rule<job_agent_settings>> JobAgentKeys();
std::span<const keys::key_rule<peer>> PeerKeys();
std::span<const keys::key_rule<log_settings>> LogKeys();

}  // namespace egretrack::settings

#endif  // EGRETRACK_SRC_SETTINGS_KEYS_H_
