# Language standard, warnings and sanitizers of all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
# Scenarios and operators expect all programs in one folder.
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)

option(EGRETRACK_TESTS "Build the unit tests, the stand-ins and the scenarios" ON)
set(EGRETRACK_SANITIZER "" CACHE STRING "Value for -fsanitize, for example address,undefined or thread")

find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

add_library(egretrack_options INTERFACE)
target_compile_options(egretrack_options INTERFACE -Wall -Wextra -Wpedantic -Wnon-virtual-dtor)
if(EGRETRACK_SANITIZER)
  target_compile_options(egretrack_options INTERFACE -fsanitize=${EGRETRACK_SANITIZER} -fno-omit-frame-pointer)
  target_link_options(egretrack_options INTERFACE -fsanitize=${EGRETRACK_SANITIZER})
endif()
target_include_directories(egretrack_options INTERFACE ${PROJECT_SOURCE_DIR}/src/include)
target_include_directories(egretrack_options INTERFACE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})

# Asio is compiled once, in src/net/asio_impl.cc.
target_compile_definitions(egretrack_options INTERFACE
  BOOST_ASIO_SEPARATE_COMPILATION BOOST_ASIO_NO_DEPRECATED)
