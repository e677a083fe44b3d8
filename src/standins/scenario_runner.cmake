add_executable(scenario_runner
  scenario_runner.cc script_host.cc relay.cc child_process.cc raw_connection.cc ledger.cc)
target_link_libraries(scenario_runner PRIVATE egretrack_net Boost::json PkgConfig::LUA)
