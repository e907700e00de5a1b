# Helpers that give each package the same shape: one library, one test program.

# Adds the warnings of the project to a target.
function(carobpath_set_warnings target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor)
    if(CAROBPATH_WARNINGS_AS_ERRORS)
        target_compile_options(${target} PRIVATE -Werror)
    endif()
endfunction()

# carobpath_add_library(<slice> SOURCES ... LINK ...)
# Makes the library carobpath-<slice> with the public name carobpath::<slice>.
function(carobpath_add_library slice)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_library(carobpath-${slice} STATIC ${ARG_SOURCES})
    add_library(carobpath::${slice} ALIAS carobpath-${slice})
    target_include_directories(carobpath-${slice}
        PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(carobpath-${slice} PUBLIC ${ARG_LINK})
    carobpath_set_warnings(carobpath-${slice})
endfunction()

# carobpath_add_test(<slice> SOURCES ... LINK ... [DEFINE ...] [INCLUDE ...])
# Makes the Boost.Test program carobpath-<slice>-tests and registers it with CTest.
function(carobpath_add_test slice)
    if(NOT CAROBPATH_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK;DEFINE;INCLUDE" ${ARGN})
    add_executable(carobpath-${slice}-tests ${ARG_SOURCES})
    target_include_directories(carobpath-${slice}-tests PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src ${CMAKE_CURRENT_SOURCE_DIR}/tests ${ARG_INCLUDE})
    target_compile_definitions(carobpath-${slice}-tests PRIVATE BOOST_TEST_DYN_LINK ${ARG_DEFINE})
    target_link_libraries(carobpath-${slice}-tests PRIVATE ${ARG_LINK} Boost::unit_test_framework ${RAPIDCHECK_LIBRARY})
    carobpath_set_warnings(carobpath-${slice}-tests)
    add_test(NAME ${slice} COMMAND carobpath-${slice}-tests --log_level=error)
endfunction()
