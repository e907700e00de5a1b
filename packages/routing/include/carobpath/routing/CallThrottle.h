#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace carobpath::routing {

/// Calls that compete for the same room.
struct OfferClass {
    std::uint32_t rank = 0;
    /// Whether the objective of the calls has passed.
    bool isLate = false;

    friend auto operator<=>(const OfferClass&, const OfferClass&) = default;
};

/// Bounds the offers of calls to the upstreams of one service while these take few of them. Answers the load of more calls than the service
/// bears: an offer that is refused costs two nodes processor time and room on their links, at whichever attempt of a call it is.
///
/// A token bucket for each class of calls: calls that are taken earn tokens, refused offers spend them by the time that the refusal took, which shows how busy
/// the nodes and links on its way are. Without tokens most calls are refused at their entry node; the rest finds room that has come free.
class CallThrottle {
public:
    /// Tokens that each call earns which an upstream takes.
    static constexpr double s_earnedPerTaken = 1;
    /// Most tokens that are saved.
    static constexpr double s_capacity = 10;
    /// Most tokens that are owed: what this node earns in a time, but at least a few.
    static constexpr std::chrono::seconds s_maxOwedTime { 2 };
    static constexpr double s_minOwed = 2;
    /// A refusal that took as long or longer spends a whole token, one from an idle instance a small part of it.
    static constexpr std::chrono::milliseconds s_slowRefusal { 50 };
    static constexpr double s_minCost = 0.1;
    /// Slow refusals a second that one upstream bears of all entry nodes together.
    static constexpr double s_bearablePerUpstream = 20;
    /// Part of the calls without tokens that is offered all the same.
    static constexpr double s_probePart = 0.1;
    /// Shortest time after which a refused caller may come back.
    static constexpr std::chrono::milliseconds s_minRetryAfter { 500 };

    /// \param perSecond tokens that this node earns regardless of its calls: its part of what the upstreams bear. Late calls earn none, so that
    /// their refusals do not take the room of calls that can be in time.
    void setEarned(double perSecond) { m_earnedPerSecond = perSecond; }

    /// A call asks to be offered, for the first time or once more. \param draw uniform, from 0 to 1.
    /// \returns whether it may be.
    bool mayOffer(const OfferClass&, double draw, MonotonicTime now);
    /// An upstream took the call that was offered.
    void onTaken(const OfferClass&, MonotonicTime now);
    /// An upstream refused the offer for load.
    /// \param took time from the offer to its refusal.
    /// \param retryAfter what the upstream named; empty where it named nothing.
    void onRefused(const OfferClass&, std::chrono::nanoseconds took, std::optional<std::chrono::milliseconds> retryAfter, MonotonicTime now);

    /// \returns the time after which a call of the class that was refused here may come back.
    std::chrono::milliseconds retryAfter(const OfferClass&) const;

private:
    struct Bucket {
        double tokens = s_capacity;
        MonotonicTime at {};
        std::chrono::milliseconds retryAfter {};
    };

    Bucket& refilled(const OfferClass&, MonotonicTime now);
    double earnedPerSecond(const OfferClass&) const;
    double maxOwed(const OfferClass&) const;

    double m_earnedPerSecond = s_bearablePerUpstream;
    std::map<OfferClass, Bucket> m_byClass;
};

}
