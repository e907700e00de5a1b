#include "carobpath/publication/Codec.h"
#include "carobpath/publication/SetDigester.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::publication {

namespace {

    RouteEntry route(const std::string& name, const std::string& prefix)
    {
        RouteEntry entry;
        entry.route.name = RouteName { name };
        entry.route.pathPrefix = prefix;
        return entry;
    }

}

BOOST_AUTO_TEST_SUITE(Set_digesters)

BOOST_AUTO_TEST_CASE(Routes_that_change_come_and_go_give_the_digest_of_the_whole_set)
{
    SetDigester digester;
    ConfigurationSet set;
    BOOST_TEST((digester.digestOf(set) == digestOfSet(set)));
    set.routes.emplace(RouteName { "r-1" }, route("r-1", "/a/"));
    set.routes.emplace(RouteName { "r-2" }, route("r-2", "/b/"));
    BOOST_TEST((digester.digestOf(set) == digestOfSet(set)));
    set.routes.at(RouteName { "r-2" }).route.pathPrefix = "/c/";
    BOOST_TEST((digester.digestOf(set) == digestOfSet(set)));
    set.routes.erase(RouteName { "r-1" });
    set.workspaces.emplace(WorkspaceName { "petra" }, WorkspaceEntry {});
    BOOST_TEST((digester.digestOf(set) == digestOfSet(set)));
    set.routes.emplace(RouteName { "r-1" }, route("r-1", "/d/"));
    BOOST_TEST((digester.digestOf(set) == digestOfSet(set)));
}

BOOST_AUTO_TEST_SUITE_END()

}
