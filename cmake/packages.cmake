# Finds the third-party packages, all from the distribution, and defines egretrack_library().
find_package(Boost 1.81 REQUIRED COMPONENTS json system)
find_package(Threads REQUIRED)
find_package(Protobuf REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
pkg_check_modules(LOG4CPLUS REQUIRED IMPORTED_TARGET log4cplus)

if(EGRETRACK_TESTS)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
  pkg_check_modules(LUA REQUIRED IMPORTED_TARGET lua5.4)
  include(GoogleTest)
endif()

# egretrack_library(NAME PUBLIC libs PRIVATE libs) builds the sources of the
# current folder as library egretrack_NAME, and tests/*.cc as program NAME_test.
function(egretrack_library name)
  cmake_parse_arguments(ARG "" "" "PUBLIC;PRIVATE" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc *.pb.cc)
  list(REMOVE_DUPLICATES sources)
  if(sources)
    add_library(egretrack_${name} STATIC ${sources})
    target_link_libraries(egretrack_${name} PUBLIC egretrack_options ${ARG_PUBLIC} PRIVATE ${ARG_PRIVATE})
  else()
    add_library(egretrack_${name} INTERFACE)
    target_link_libraries(egretrack_${name} INTERFACE egretrack_options ${ARG_PUBLIC} ${ARG_PRIVATE})
  endif()

  file(GLOB tests CONFIGURE_DEPENDS tests/*.cc)
  if(EGRETRACK_TESTS AND tests)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE egretrack_${name} ${ARG_PRIVATE}
      rapidcheck GTest::gtest GTest::gtest_main)
    gtest_discover_tests(${name}_test TEST_PREFIX ${name}. DISCOVERY_TIMEOUT 60
      PROPERTIES TIMEOUT 120 LABELS unit ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
endfunction()
