#define BOOST_TEST_MODULE carobpath_membership
#include <boost/test/unit_test.hpp>
