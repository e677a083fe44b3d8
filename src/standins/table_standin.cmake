# In-memory table service: a library for unit tests and a program.
add_library(table_service STATIC table_rows.cc table_service.cc)
target_link_libraries(table_service PUBLIC egretrack_store PRIVATE Boost::json)
add_executable(table_standin table_standin.cc)
target_link_libraries(table_standin PRIVATE table_service)
