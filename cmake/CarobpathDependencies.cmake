# Finds every library that the packages link. All of them come from Debian's packages.
set(Boost_NO_BOOST_CMAKE OFF)
find_package(Threads REQUIRED)
if(CAROBPATH_TESTS)
    find_package(Boost 1.81 REQUIRED COMPONENTS unit_test_framework)
    find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
else()
    find_package(Boost 1.81 REQUIRED)
endif()
find_package(OpenSSL REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp REQUIRED CONFIG COMPONENTS core)

find_library(LOG4CXX_LIBRARY log4cxx REQUIRED)

# The package's own CMake file asks for a libatomic that g++ needs no more, so the libraries are named here.
foreach(library IN ITEMS capnp-rpc capnp kj-async kj)
    string(MAKE_C_IDENTIFIER ${library} identifier)
    string(TOUPPER ${identifier} identifier)
    find_library(${identifier}_LIBRARY ${library} REQUIRED)
endforeach()
set(CAPNP_LIBRARIES ${CAPNP_RPC_LIBRARY} ${CAPNP_LIBRARY} ${KJ_ASYNC_LIBRARY} ${KJ_LIBRARY})
