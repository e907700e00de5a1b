#define BOOST_TEST_MODULE carobpath_node
#include <boost/test/unit_test.hpp>
