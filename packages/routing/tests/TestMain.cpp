#define BOOST_TEST_MODULE carobpath_routing
#include <boost/test/unit_test.hpp>
