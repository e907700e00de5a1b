#define BOOST_TEST_MODULE carobpath_foundation
#include <boost/test/unit_test.hpp>
