#define BOOST_TEST_MODULE carobpath_peer
#include <boost/test/unit_test.hpp>
