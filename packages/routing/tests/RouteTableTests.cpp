#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

BOOST_AUTO_TEST_SUITE(Routes)

struct RouteRow {
    const char* host;
    const char* method;
    const char* path;
    /// Name of the route; empty if the lookup fails.
    const char* route;
    RouteLookupError error = RouteLookupError::UnknownRoute;
};

BOOST_AUTO_TEST_CASE(A_call_is_matched_by_host_then_longest_prefix_then_method)
{
    const RouteRow rows[] {
        { "booking.petra", "GET", "/catalogue", "read" },
        { "booking.petra", "GET", "/bookings/7", "list" },
        { "booking.petra", "POST", "/bookings", "book" },
        { "booking.petra", "POST", "/bookings?day=1", "book" },
        { "booking.petra", "DELETE", "/bookings/7", "", RouteLookupError::MethodNotAllowed },
        { "booking.petra", "POST", "/catalogue", "", RouteLookupError::MethodNotAllowed },
        { "booking.petra", "GET", "", "", RouteLookupError::UnknownRoute },
        { "booking.akwapim", "GET", "/", "", RouteLookupError::UnknownHost },
        { "", "GET", "/", "", RouteLookupError::UnknownHost },
    };
    const RouteTable table { makeConfiguration() };
    for (const auto& row : rows) {
        BOOST_TEST_CONTEXT(row.host << " " << row.method << " " << row.path)
        {
            const auto found = table.find(row.host, row.method, row.path);
            const auto* match = std::get_if<RouteTable::Match>(&found);
            BOOST_TEST((match ? (*match)->name.value() : "") == row.route);
            if (!match)
                BOOST_TEST((std::get<RouteLookupError>(found) == row.error));
        }
    }
}

BOOST_AUTO_TEST_CASE(A_lookup_without_a_configuration_fails_with_an_unknown_host)
{
    BOOST_TEST((std::get<RouteLookupError>(RouteTable {}.find("booking.petra", "GET", "/")) == RouteLookupError::UnknownHost));
}

BOOST_AUTO_TEST_SUITE_END()

}
