# Adds the programs of the second review to a build of the project without its
# tests. review/build-2.sh passes this file to CMake, which reads it before the
# folders of the project.
add_subdirectory("${CMAKE_CURRENT_LIST_DIR}" review_second)
