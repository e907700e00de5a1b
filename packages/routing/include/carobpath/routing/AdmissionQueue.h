#pragma once

#include "carobpath/routing/Admission.h"

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace carobpath::routing {

/// Classes of the queue, in the order in which they are served.
enum class QueueClass : std::uint8_t {
    /// Short calls that may not be repeated.
    NonRepeatable,
    /// Other short calls.
    Short,
    Download,
};

inline constexpr std::size_t queueClassCount = 3;

QueueClass queueClassOf(const AdmissionRequest&);

/// Order in which queued calls are served.
struct QueueOrder {
    /// Whether non-repeatable short calls are served first, then other short calls, then downloads; otherwise all
    /// calls form one class. A call that has waited for half of the time to its deadline is served before any call
    /// that arrived later, whatever its class.
    bool byClass = true;
    /// Whether the call with the smallest width of a class is served first; otherwise the oldest one is.
    bool narrowFirst = true;
    /// Whether calls are served by their objectives. Calls that can still meet their objective are served first,
    /// ordered by rank and then by the earliest objective; the others follow in the order of their arrival. This is
    /// for loads near or above the capacity of the backend server, where serving calls in order of arrival makes every
    /// answer late.
    bool byObjective = false;
    /// A call that has waited this long is served before all calls of its class that arrived later, whatever their
    /// width.
    std::chrono::milliseconds maxBypassTime { 5000 };
};

/// \returns whether the first call is served before the second one when calls are ordered by objective.
bool isMoreUrgent(const AdmissionRequest&, const AdmissionRequest&, MonotonicTime now);

/// Bounded queue of the calls that wait for a slot. When it is full, a new call displaces the newest call of the worst
/// class, if that class is worse than its own.
class AdmissionQueue {
public:
    static constexpr std::size_t s_maxWaiting = 64;

    struct Waiting {
        AdmissionRequest request;
        MonotonicTime arrivedAt;
    };
    /// \returns whether a call could be dispatched now.
    using Fits = std::function<bool(const AdmissionRequest&)>;

    explicit AdmissionQueue(QueueOrder order)
        : m_order(order)
    {
    }

    /// \returns the call that did not fit, if any: either the new one or one of a worse class.
    std::optional<AdmissionRequest> push(const AdmissionRequest&, MonotonicTime now);
    /// Removes and returns the next call that can be dispatched.
    std::optional<AdmissionRequest> pop(const Fits&, MonotonicTime now);
    /// \returns the calls that would be served before the given one, when calls are ordered by objective.
    std::vector<const AdmissionRequest*> callsAhead(const AdmissionRequest&, MonotonicTime now) const;
    /// Removes the call. \returns whether it was queued.
    bool remove(const RequestId&);
    /// Removes the calls whose deadline has passed.
    std::vector<AdmissionRequest> removeExpired(MonotonicTime now);
    std::vector<AdmissionRequest> removeIf(const std::function<bool(const Waiting&)>&);
    std::vector<AdmissionRequest> removeAll();

    std::size_t size() const;
    /// \returns the number of calls in the queue of the class. Unless the order is by class, all calls are in the queue
    /// of the first class.
    std::size_t size(QueueClass it) const { return m_classes[static_cast<std::size_t>(it)].size(); }
    /// \returns the earliest deadline of a queued call.
    std::optional<MonotonicTime> earliestDeadline() const;

private:
    using ClassQueue = std::deque<Waiting>;

    std::optional<AdmissionRequest> popByObjective(const Fits&, MonotonicTime now);
    static AdmissionRequest extract(ClassQueue&, const ClassQueue::iterator&);
    ClassQueue& queueOf(const AdmissionRequest&);
    /// \returns the next call of the queue that can be dispatched. Once the oldest call has waited too long, no other
    /// call of the queue is returned.
    ClassQueue::iterator nextOf(ClassQueue&, const Fits&, MonotonicTime now) const;
    bool isOverdueInClass(const Waiting&, MonotonicTime now) const;

    QueueOrder m_order;
    std::array<ClassQueue, queueClassCount> m_classes;
};

}
