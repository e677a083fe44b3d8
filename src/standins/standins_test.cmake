file(GLOB standins_tests CONFIGURE_DEPENDS tests/*_test.cc)
add_executable(standins_test ${standins_tests}
  ledger.cc task_script.cc workload.cc ideal_schedule.cc run_history.cc)
target_link_libraries(standins_test PRIVATE egretrack_base GTest::gtest GTest::gtest_main)
gtest_discover_tests(standins_test TEST_PREFIX standins. DISCOVERY_TIMEOUT 60
  PROPERTIES TIMEOUT 120 LABELS unit)
