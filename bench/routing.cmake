# Benches of the decisions of calls; each runs in virtual time.
function(carobpath_add_routing_bench name)
    string(REPLACE _ - target carobpath-bench-${name})
    add_executable(${target} routing/${name}_bench.cpp)
    target_link_libraries(${target} PRIVATE carobpath::routing nlohmann_json::nlohmann_json)
    carobpath_set_warnings(${target})
endfunction()

carobpath_add_routing_bench(balance)
carobpath_add_routing_bench(decision_cost)
carobpath_add_routing_bench(idempotency)
carobpath_add_routing_bench(overload)
carobpath_add_routing_bench(queue_order)
