#pragma once

#include "carobpath/routing/Admission.h"

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace carobpath::routing {

/// Classes of the waiting queue, first served first.
enum class QueueClass : std::uint8_t {
    /// Short work that may not be repeated.
    NonRepeatable,
    /// Other short work.
    Short,
    Download,
};

inline constexpr std::size_t queueClassCount = 3;

QueueClass queueClassOf(const AdmissionRequest&);

/// In which order waiting calls are served.
struct QueueOrder {
    /// Bookings before short calls before downloads; otherwise all are one class. A call that has waited for half of
    /// its time is served before any that came later, whatever their class.
    bool byClass = true;
    /// Within a class, the call of the smallest width first; otherwise the one that came first.
    bool narrowFirst = true;
    /// Whether calls that name an objective go by it: those that can still meet theirs come first, by rank and then the
    /// earliest objective; the others follow in the order of their arrival. Answers loads near and above what the backend
    /// server bears, where waiting in turn makes every answer late.
    bool byObjective = false;
    /// A call that waited this long is served before wider and thinner ones of its class that came later.
    std::chrono::milliseconds maxBypassTime { 5000 };
};

/// \returns whether the first call goes before the second in the order by objective.
bool isMoreUrgent(const AdmissionRequest&, const AdmissionRequest&, MonotonicTime now);

/// Calls that wait for a slot. Bounded; a full queue makes room for a better class by giving up its newest worse call.
class AdmissionQueue {
public:
    static constexpr std::size_t s_maxWaiting = 64;

    struct Waiting {
        AdmissionRequest request;
        MonotonicTime arrivedAt;
    };
    /// Says whether a call could be dispatched now.
    using Fits = std::function<bool(const AdmissionRequest&)>;

    explicit AdmissionQueue(QueueOrder order)
        : m_order(order)
    {
    }

    /// \returns the call that found no room, if any: the new one or one of a worse class.
    std::optional<AdmissionRequest> push(const AdmissionRequest&, MonotonicTime now);
    /// Removes the next call that fits.
    std::optional<AdmissionRequest> pop(const Fits&, MonotonicTime now);
    /// \returns the calls that would be served before the given one.
    std::vector<const AdmissionRequest*> before(const AdmissionRequest&, MonotonicTime now) const;
    /// \returns whether the call waited; it is then removed.
    bool remove(const RequestId&);
    /// Removes the calls whose deadline has passed.
    std::vector<AdmissionRequest> removeExpired(MonotonicTime now);
    std::vector<AdmissionRequest> removeIf(const Fits&);
    std::vector<AdmissionRequest> removeAll();

    std::size_t size() const;
    std::size_t size(QueueClass it) const { return m_classes[static_cast<std::size_t>(it)].size(); }
    /// \returns the earliest deadline of a waiting call.
    std::optional<MonotonicTime> earliestDeadline() const;

private:
    using Line = std::deque<Waiting>;

    std::optional<AdmissionRequest> popByObjective(const Fits&, MonotonicTime now);
    static AdmissionRequest takeOut(Line&, const Line::iterator&);
    Line& lineOf(const AdmissionRequest&);
    /// \returns the next call of the line that fits; past its maximal wait the first one goes before all.
    Line::iterator candidateOf(Line&, const Fits&, MonotonicTime now) const;
    bool isOverdueInClass(const Waiting&, MonotonicTime now) const;

    QueueOrder m_order;
    std::array<Line, queueClassCount> m_classes;
};

}
