# The experiment on the policy of moves; see docs/MOVES.md.
add_executable(carobpath-bench-moves
    move_experiment.cpp
    moves/Cases.cpp
    moves/Experiment.cpp
    moves/FixedStep.cpp
    moves/Fleet.cpp
    moves/Summary.cpp
    moves/VersionModel.cpp)
target_include_directories(carobpath-bench-moves PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
target_link_libraries(carobpath-bench-moves PRIVATE carobpath::moves Threads::Threads)
carobpath_set_warnings(carobpath-bench-moves)
