#include "carobpath/foundation/Digest.h"

#include <boost/test/unit_test.hpp>

namespace carobpath {

BOOST_AUTO_TEST_SUITE(Digests)

BOOST_AUTO_TEST_CASE(The_digest_of_abc_is_the_one_in_the_SHA_256_standard)
{
    BOOST_TEST(toHex(digestOf("abc")) == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(A_digest_survives_the_way_to_text_and_back)
{
    const Digest digest = digestOf("a set");
    BOOST_TEST((digestFromHex(toHex(digest)) == digest));
}

BOOST_AUTO_TEST_CASE(Text_that_is_no_digest_is_refused)
{
    BOOST_TEST(!digestFromHex(""));
    BOOST_TEST(!digestFromHex("zz"));
    BOOST_TEST(!digestFromHex(std::string(64, 'g')));
    BOOST_TEST(!digestFromHex(std::string(64, 'A')));
    BOOST_TEST(!digestFromHex(std::string(63, 'a')));
}

BOOST_AUTO_TEST_SUITE_END()

}
