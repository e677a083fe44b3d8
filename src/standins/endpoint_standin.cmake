add_executable(endpoint_standin endpoint_standin.cc task_script.cc ledger.cc)
target_link_libraries(endpoint_standin PRIVATE egretrack_net Boost::json)
