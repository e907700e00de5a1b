#define BOOST_TEST_MODULE carobpath_distribution
#include <boost/test/unit_test.hpp>
