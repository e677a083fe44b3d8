add_executable(load_generator load_generator.cc workload.cc ideal_schedule.cc ledger.cc)
target_link_libraries(load_generator PRIVATE egretrack_net Boost::json)
