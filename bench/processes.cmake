# Measurements with real processes: what two nodes add to a call, and what nodes spend on control.
foreach(name IN ITEMS latency fleet)
    add_executable(carobpath-bench-${name} ${name}_bench.cpp ProcessUsage.cpp)
    target_link_libraries(carobpath-bench-${name} PRIVATE carobpath-harness)
    carobpath_set_warnings(carobpath-bench-${name})
    add_dependencies(carobpath-bench-${name} carobpathd log-standin backend-standin mesh-load)
endforeach()
