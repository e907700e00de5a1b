#define BOOST_TEST_MODULE carobpath_moves
#include <boost/test/unit_test.hpp>
