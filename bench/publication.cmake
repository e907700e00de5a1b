# What one record costs a reader of the log. See docs/design/publication.md.
add_executable(carobpath-bench-fold publication/FoldCost.cpp)
target_link_libraries(carobpath-bench-fold PRIVATE carobpath::publication)
carobpath_set_warnings(carobpath-bench-fold)
