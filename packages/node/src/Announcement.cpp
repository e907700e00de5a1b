#include "carobpath/node/Announcement.h"

#include "carobpath/foundation/EnumTable.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <limits>

namespace carobpath::node {

namespace {

    constexpr std::size_t longestName = 64;
    constexpr std::uint32_t mostSlots = 10'000;
    constexpr std::uint32_t mostConnections = 100'000;

    constexpr std::array<EnumRow<AnnouncementFaultKind>, 5> faultKinds { {
        { AnnouncementFaultKind::NotJson, "not-json" },
        { AnnouncementFaultKind::MissingField, "missing-field" },
        { AnnouncementFaultKind::WrongType, "wrong-type" },
        { AnnouncementFaultKind::OutOfBounds, "out-of-bounds" },
        { AnnouncementFaultKind::UnknownState, "unknown-state" },
    } };

    auto fault(AnnouncementFaultKind kind, std::string field)
    {
        return boost::leaf::new_error(AnnouncementFault { kind, std::move(field) });
    }

    Result<std::string> textField(const nlohmann::json& object, const std::string& field)
    {
        const auto it = object.find(field);
        if (it == object.end())
            return fault(AnnouncementFaultKind::MissingField, field);
        if (!it->is_string())
            return fault(AnnouncementFaultKind::WrongType, field);
        auto text = it->get<std::string>();
        if (text.empty() || text.size() > longestName)
            return fault(AnnouncementFaultKind::OutOfBounds, field);
        return text;
    }

    Result<std::uint32_t> numberField(const nlohmann::json& object, const std::string& field, std::uint32_t most)
    {
        const auto it = object.find(field);
        if (it == object.end())
            return fault(AnnouncementFaultKind::MissingField, field);
        if (!it->is_number_integer())
            return fault(AnnouncementFaultKind::WrongType, field);
        const auto number = it->get<std::int64_t>();
        if (number < 1 || number > most)
            return fault(AnnouncementFaultKind::OutOfBounds, field);
        return static_cast<std::uint32_t>(number);
    }

    Result<membership::UpstreamState> stateField(const nlohmann::json& object)
    {
        BOOST_LEAF_AUTO(text, textField(object, "state"));
        const auto state = membership::upstreamStateFromString(text);
        if (!state || *state == membership::UpstreamState::Down)
            return fault(AnnouncementFaultKind::UnknownState, "state");
        return *state;
    }

    Result<Endpoint> backendOf(const nlohmann::json& object)
    {
        BOOST_LEAF_AUTO(address, textField(object, "address"));
        BOOST_LEAF_AUTO(port, numberField(object, "port", std::numeric_limits<std::uint16_t>::max()));
        boost::system::error_code ec;
        boost::asio::ip::make_address(address, ec);
        if (ec)
            return fault(AnnouncementFaultKind::OutOfBounds, "address");
        return Endpoint { address, static_cast<std::uint16_t>(port) };
    }

}

std::string_view toString(AnnouncementFaultKind kind) { return enumText(faultKinds, kind); }

Result<Announcement> parseAnnouncement(std::string_view body)
{
    const auto object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object())
        return fault(AnnouncementFaultKind::NotJson, {});
    BOOST_LEAF_AUTO(service, textField(object, "service"));
    BOOST_LEAF_AUTO(version, textField(object, "version"));
    BOOST_LEAF_AUTO(slots, numberField(object, "slots", mostSlots));
    BOOST_LEAF_AUTO(connections, numberField(object, "connections", mostConnections));
    BOOST_LEAF_AUTO(state, stateField(object));
    BOOST_LEAF_AUTO(backend, backendOf(object));
    Announcement announcement;
    announcement.upstream.service = ServiceName { service };
    announcement.upstream.version = VersionName { version };
    announcement.upstream.slots = slots;
    announcement.upstream.connections = connections;
    announcement.upstream.state = state;
    announcement.backend = backend;
    return announcement;
}

}
