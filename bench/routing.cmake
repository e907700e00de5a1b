# Benches of the decisions of calls; each runs in virtual time.
function(carobpath_add_routing_bench name)
    add_executable(carobpath-bench-${name} routing/${name}_bench.cpp)
    target_link_libraries(carobpath-bench-${name} PRIVATE carobpath::routing nlohmann_json::nlohmann_json)
    carobpath_set_warnings(carobpath-bench-${name})
endfunction()

carobpath_add_routing_bench(idempotency)
