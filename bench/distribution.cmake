# Distribution of configuration, membership and evidence over an in-memory exchange.
add_executable(carobpath-bench-distribution
    ${CMAKE_CURRENT_LIST_DIR}/distribution_bench.cpp
    ${CMAKE_SOURCE_DIR}/packages/distribution/tests/Fleet.cpp
    ${CMAKE_SOURCE_DIR}/packages/distribution/tests/FleetNetwork.cpp)
target_include_directories(carobpath-bench-distribution PRIVATE
    ${CMAKE_SOURCE_DIR}/packages/distribution/tests
    ${CMAKE_SOURCE_DIR}/packages/peer/src)
target_link_libraries(carobpath-bench-distribution PRIVATE carobpath::peer)
carobpath_set_warnings(carobpath-bench-distribution)
