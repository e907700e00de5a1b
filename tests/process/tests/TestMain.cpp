#define BOOST_TEST_MODULE carobpath_process
#include <boost/test/unit_test.hpp>
