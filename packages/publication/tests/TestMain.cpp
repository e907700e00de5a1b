#define BOOST_TEST_MODULE carobpath_publication
#include <boost/test/unit_test.hpp>
