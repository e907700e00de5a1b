#include "carobpath/node/Announcement.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>

namespace carobpath::node {

namespace {

    constexpr std::string_view whole
        = R"({"service": "booking", "version": "booking-1", "address": "127.0.0.1", "port": 8080, "slots": 6, "connections": 130, "state": "cold"})";

    struct FaultRow {
        std::string_view body;
        AnnouncementFaultKind kind;
        std::string_view field;
    };

    constexpr std::array faultRows {
        FaultRow { "", AnnouncementFaultKind::NotJson, "" },
        FaultRow { "[]", AnnouncementFaultKind::NotJson, "" },
        FaultRow { "{}", AnnouncementFaultKind::MissingField, "service" },
        FaultRow { R"({"service": 7})", AnnouncementFaultKind::WrongType, "service" },
        FaultRow { R"({"service": ""})", AnnouncementFaultKind::OutOfBounds, "service" },
        FaultRow { R"({"service": "s", "version": "v", "slots": 0})", AnnouncementFaultKind::OutOfBounds, "slots" },
        FaultRow { R"({"service": "s", "version": "v", "slots": "6"})", AnnouncementFaultKind::WrongType, "slots" },
        FaultRow { R"({"service": "s", "version": "v", "slots": 6, "connections": 9, "state": "down"})", AnnouncementFaultKind::UnknownState, "state" },
        FaultRow { R"({"service": "s", "version": "v", "slots": 6, "connections": 9, "state": "ready", "address": "localhost", "port": 1})", AnnouncementFaultKind::OutOfBounds, "address" },
        FaultRow { R"({"service": "s", "version": "v", "slots": 6, "connections": 9, "state": "ready", "address": "::1", "port": 70000})", AnnouncementFaultKind::OutOfBounds, "port" },
    };

}

BOOST_AUTO_TEST_SUITE(Announcements)

BOOST_AUTO_TEST_CASE(A_whole_announcement_is_read)
{
    const auto announcement = parseAnnouncement(whole);
    BOOST_REQUIRE(announcement);
    BOOST_TEST(announcement->upstream.service.value() == "booking");
    BOOST_TEST(announcement->upstream.slots == 6U);
    BOOST_TEST(announcement->backend.port == 8080);
}

BOOST_AUTO_TEST_CASE(Each_fault_of_an_announcement_is_named)
{
    for (const auto& row : faultRows) {
        BOOST_TEST_CONTEXT(row.body)
        {
            const bool refused = boost::leaf::try_handle_all(
                [&]() -> Result<bool> {
                    BOOST_LEAF_CHECK(parseAnnouncement(row.body));
                    return false;
                },
                [&](const AnnouncementFault& fault) {
                    BOOST_TEST(toString(fault.kind) == toString(row.kind));
                    BOOST_TEST(fault.field == row.field);
                    return true;
                },
                [] { return false; });
            BOOST_TEST(refused);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
