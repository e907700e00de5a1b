# What two nodes add to a call, with real processes.
add_executable(carobpath-bench-latency latency_bench.cpp)
target_link_libraries(carobpath-bench-latency PRIVATE carobpath-harness)
carobpath_set_warnings(carobpath-bench-latency)
add_dependencies(carobpath-bench-latency carobpathd log-standin backend-standin mesh-load)
