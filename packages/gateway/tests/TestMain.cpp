#define BOOST_TEST_MODULE carobpath_gateway
#include <boost/test/unit_test.hpp>
