#define BOOST_TEST_MODULE carobpath_client
#include <boost/test/unit_test.hpp>
